#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// Moves long-running filling tasks off workers where they slow serving tasks down, or where their
// pace has been low for long. Stops only tasks that can start on a worker without serving tasks,
// within `mayMiss` of their step and the cap of their account, one at a time. Serving tasks stay.
void separateFillers(Engine &engine, TimePoint now);

// Notes whether a worker that has just reported misses a target. Where no pace acts in time, stops
// the long-running filling tasks beside a target that stays missed, within `mayMiss` of their step.
// They rest for some seconds, or start at once where there is room without serving tasks.
void noteTargets(Engine &engine, Worker &worker, TimePoint now);

}  // namespace poplarstream::engine
