#pragma once

#include "poplarstream/fleet/state.hpp"  // for FleetState, FleetHost

namespace poplarstream {

// Counts the usage of all pools anew, as needed after a change of the configuration or of a zone.
void recomputePoolUsage(FleetState &state);

// Subtracts the host from the pool usage while it is changed, and adds it back at the end of the
// scope.
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

// Returns whether the host has a granted move to another pool that can still happen.
bool isMovePending(const FleetHost &host);

}  // namespace poplarstream
