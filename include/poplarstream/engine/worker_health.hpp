#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine, Worker

namespace poplarstream::engine {

// Learns from the end of a run whether the worker is sound. Called before the end is recorded in
// the job.
void noteEnd(Engine &engine, Worker &worker, const CompletionReport &report, TimePoint now);

// Sets a worker aside for a while, longer each time.
void suspect(Engine &engine, Worker &worker, TimePoint now);

// Finds tasks that stand still although their workers report. Stops those that can start elsewhere
// and sets workers with several of them aside; tasks of speculative steps get a copy instead.
void rescheduleStragglers(Engine &engine, TimePoint now);

}  // namespace poplarstream::engine
