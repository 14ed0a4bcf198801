#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// Decides which waiting tasks start now and on which workers. The start commands are sent after the
// decisions are stored.
void planStarts(Engine &engine, TimePoint now);

}  // namespace poplarstream::engine
