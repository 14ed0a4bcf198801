#pragma once

#include "poplarstream/pools/state.hpp"  // for Pools

namespace poplarstream::pools {

// Moves machines to pools with waiting work, and surplus idle machines to the standby pool.
void planMoves(Pools &pools, engine::Engine &engine, TimePoint now);

}  // namespace poplarstream::pools
