#pragma once

#include <cstddef>  // for size_t

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// Finds the steps of which a task has been waiting for some seconds although workers have room for
// it, counts its tasks and records why they got none. Each wait is recorded once. Does so at most
// once a second, in bounded time.
void reviewUnplacedTasks(Engine &engine, TimePoint now);

// The number of steps that are reported and whose tasks still wait.
std::size_t reportedSteps(const Engine &engine);

}  // namespace poplarstream::engine
