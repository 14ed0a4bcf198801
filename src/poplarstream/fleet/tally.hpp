#pragma once

#include "poplarstream/fleet/state.hpp"  // for FleetState, FleetHost

namespace poplarstream {

// Counts everything again; needed after a change of the configuration or of a zone.
void recount(FleetState &state);

// Takes the host out of the tallies for the time of a change, and counts it again at the end of the
// scope.
class TallyScope
{
public:
    TallyScope(FleetState &state, const FleetHost &host);
    ~TallyScope();
    TallyScope(const TallyScope &) = delete;
    TallyScope &operator=(const TallyScope &) = delete;

private:
    FleetState &state_;
    const FleetHost &host_;
};

// Whether a granted move to another pool can still happen.
bool isMovePending(const FleetHost &host);

}  // namespace poplarstream
