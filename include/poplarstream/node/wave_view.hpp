#pragma once

#include <map>  // for map

#include "poplarstream/base/id.hpp"  // for PoolId
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/maintenance/fleet_view.hpp"  // for FleetView

namespace poplarstream {

// Demand on a pool in hosts: the current value and the mean over some minutes.
struct PoolDemand
{
    double now = 0;
    double sustained = 0;
};

using PoolDemands = std::map<PoolId, PoolDemand>;

// Builds the view of the replayed state that the wave stepper and planner work on.
maintenance::FleetView makeWaveView(const FleetState &state, const PoolDemands &demands,
                                    const maintenance::Policy &policy);

// Replaces the demands in a view. Everything else in it depends on the replayed state alone.
void setDemands(maintenance::FleetView &view, const PoolDemands &demands);

}  // namespace poplarstream
