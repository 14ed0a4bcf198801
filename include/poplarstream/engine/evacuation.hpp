#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// Moves long-running tasks off workers that leave or are cordoned: stops those that can start
// elsewhere, as many of a step at a time as it allows to be missing.
void evacuate(Engine &engine, TimePoint now);

}  // namespace poplarstream::engine
