#pragma once

#include <map>  // for map

#include "poplarstream/base/id.hpp"  // for PoolId
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/maintenance/fleet_view.hpp"  // for FleetView

namespace poplarstream {

// What a pool is asked for, in hosts: now, and as a mean over minutes.
struct PoolDemand
{
    double now = 0;
    double sustained = 0;
};

using PoolDemands = std::map<PoolId, PoolDemand>;

// The replayed state as the wave stepper and planner see it.
maintenance::FleetView makeWaveView(const FleetState &state, const PoolDemands &demands,
                                    const maintenance::Policy &policy);

// Replaces the demands in a view; the rest of it follows from the replayed state alone.
void setDemands(maintenance::FleetView &view, const PoolDemands &demands);

}  // namespace poplarstream
