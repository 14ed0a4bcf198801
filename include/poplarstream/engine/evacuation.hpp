#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// The number of other tasks of the step that no reachable worker has recently reported as ready.
int otherTasksNotReady(const Engine &engine, const jobs::Occurrence &occurrence,
                       const TaskRef &task, TimePoint now);

// Moves long-running tasks off workers that are draining or cordoned. Stops only tasks that can
// start on another worker. On cordoned workers it also keeps to `mayMiss` of each step; draining
// workers leave in any case.
void evacuate(Engine &engine, TimePoint now);

// Stops the tasks on a worker that end by themselves. They start again elsewhere, from their last
// checkpoint if they have one. Long-running tasks are left to `evacuate`.
void stopShortTasks(Engine &engine, const Worker &worker, TimePoint now);

}  // namespace poplarstream::engine
