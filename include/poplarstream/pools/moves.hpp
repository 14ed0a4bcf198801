#pragma once

#include "poplarstream/pools/state.hpp"  // for Pools

namespace poplarstream::pools {

// Moves machines to pools whose work waits, and idle ones to the standby pool.
void planMoves(Pools &pools, engine::Engine &engine, TimePoint now);

}  // namespace poplarstream::pools
