#pragma once

#include "poplarstream/fleet/state.hpp"  // for FleetState, FleetHost

namespace poplarstream {

// Counts everything again; needed after a change of the configuration or of a zone.
void recount(FleetState &state);

// Takes the host out of the poolUsage for the time of a change, and counts it again at the end of
// the scope.
class PoolUsageScope
{
public:
    PoolUsageScope(FleetState &state, const FleetHost &host);
    ~PoolUsageScope();
    PoolUsageScope(const PoolUsageScope &) = delete;
    PoolUsageScope &operator=(const PoolUsageScope &) = delete;

private:
    FleetState &state_;
    const FleetHost &host_;
};

// Whether a granted move to another pool can still happen.
bool isMovePending(const FleetHost &host);

}  // namespace poplarstream
