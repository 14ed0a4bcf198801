#pragma once

#include <map>  // for map
#include <set>  // for set

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/engine/state.hpp"  // for Engine, WorkerId

namespace poplarstream::pools {

// The zones that were silent, with the last time at which they were.
using SilentZones = std::map<ZoneId, TimePoint>;

// Brings `silentZones` up to date with a list of machines that shows the workers `listed`.
//
// A zone is silent while more than half of its workers, and at least two, are not listed or do not
// respond. Single workers crash; if most of a zone are away at once, the network is the likelier
// cause, and they may live on. A zone that is heard again stays in `silentZones` for the longest
// lease, since its workers return one by one. Workers whose zone is not known count as a zone of
// their own.
void updateSilentZones(SilentZones &silentZones, const engine::Engine &engine,
                       const std::set<jobs::WorkerId> &listed, TimePoint now);

}  // namespace poplarstream::pools
