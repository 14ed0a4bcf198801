#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// Moves long-running filling tasks off workers where they slow serving tasks down, or where their
// pace has been low for long. Stops only tasks that can start on a worker without serving tasks,
// within `mayMiss` of their step and the cap of their account, one at a time. Serving tasks stay.
void separateFillers(Engine &engine, TimePoint now);

}  // namespace poplarstream::engine
