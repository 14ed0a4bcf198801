#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine, Worker

namespace poplarstream::engine {

// Whether the task may have taken a worker down and hasn't been cleared since.
bool isSuspect(const jobs::Task &task);

// Whether a suspected task runs on the worker that has not survived it for long enough to clear it.
bool hasUnprovenSuspect(Engine &engine, const Worker &worker);

// Counts the unplanned end of a worker for the tasks that are likely to have caused it, and gives
// up those that are likely to have caused several. Must be called while the attempts are attached.
void recordCrash(Engine &engine, const Worker &worker, TimePoint now);

// Remembers the attempts of a worker whose leases have expired. Its end, if it is seen later,
// counts for them.
void rememberLapsed(Engine &engine, Worker &worker, TimePoint now);

// Removes the suspicion from a task once its worker has survived a run of it for long enough.
void clearIfProven(Engine &engine, jobs::Job &job, const TaskRef &ref, const jobs::Attempt &attempt,
                   const Worker &worker);

// Records that a worker no longer responds. Workers of a rack that do so at once have a common
// cause.
void recordSilence(Engine &engine, Worker &worker, TimePoint now);

}  // namespace poplarstream::engine
