#pragma once

#include <set>  // for set

#include "poplarstream/engine/state.hpp"  // for Engine, WorkerId

namespace poplarstream::pools {

// Brings `silentZones` up to date with a list of machines that shows the workers `listed`.
//
// A zone is silent from when more than half of its polled workers, and at least two, neither
// respond nor are listed as they should be, until half of them do again. Single workers crash; if
// most of a zone are away at once, the network is the likelier cause, and they may live on. Workers
// that are not polled count on neither side.
void updateSilentZones(std::set<ZoneId> &silentZones, const engine::Engine &engine,
                       const std::set<jobs::WorkerId> &listed);

}  // namespace poplarstream::pools
