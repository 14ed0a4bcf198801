#pragma once

#include "poplarstream/pools/state.hpp"  // for Pools

namespace poplarstream::pools {

// Selects the machines to drain next for maintenance. No wave has more machines out of service at
// the same time than its cap.
void planMaintenance(Pools &pools, engine::Engine &engine, TimePoint now);

}  // namespace poplarstream::pools
