#pragma once

#include "poplarstream/pools/state.hpp"  // for Pools

namespace poplarstream::pools {

// Chooses the machines that are emptied for upkeep next, so that no wave has more than its cap away
// at once.
void planMaintenance(Pools &pools, engine::Engine &engine, TimePoint now);

}  // namespace poplarstream::pools
