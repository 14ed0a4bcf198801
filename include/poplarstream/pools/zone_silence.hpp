#pragma once

#include <map>  // for map
#include <set>  // for set

#include "poplarstream/base/id.hpp"  // for ZoneId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/engine/state.hpp"  // for Engine, WorkerId

namespace poplarstream::pools {

// A zone that was silent when it was last looked at, or shortly before.
struct ZoneSilence
{
    TimePoint at{};  // the last time at which it was silent
    int workers = 0;  // that were counted then
    int away = 0;  // of these, not listed or not responding
};

using SilentZones = std::map<ZoneId, ZoneSilence>;

// Brings `silentZones` up to date with a list of machines that shows the workers `listed`.
//
// A zone is silent while more than half of its workers, and at least two, are not listed or do not
// respond. Single workers crash; if most of a zone are away at once, the network is the likelier
// cause, and they may live on. A zone that is heard again stays in `silentZones` for the longest
// lease, since its workers return one by one. Workers whose zone is not known count as a zone of
// their own. A worker that a new owner has just polled for the first time is not silent yet.
void updateSilentZones(SilentZones &silentZones, const engine::Engine &engine,
                       const std::set<jobs::WorkerId> &listed, TimePoint now);

}  // namespace poplarstream::pools
