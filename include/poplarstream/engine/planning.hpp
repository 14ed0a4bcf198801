#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// Decides which waiting tasks start now and on which workers. The starts are sent once the store
// has them.
void planStarts(Engine &engine, TimePoint now);

}  // namespace poplarstream::engine
