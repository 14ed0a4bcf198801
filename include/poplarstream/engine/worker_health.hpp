#pragma once

#include <map>  // for map

#include "poplarstream/engine/placement.hpp"  // for Trust
#include "poplarstream/engine/state.hpp"  // for Engine, Worker

namespace poplarstream::engine {

// Updates a worker's health from a completion. Must be called before the completion is recorded in
// the job.
void updateWorkerHealth(Engine &engine, Worker &worker, const CompletionReport &report,
                        TimePoint now);

// Puts a worker into quarantine if what has failed there speaks against it. Must be called after
// all completions and running tasks of a response have been handled: a worker may have failed a few
// of many runs, and failures are often known before successes.
void reviewFailures(Engine &engine, Worker &worker, TimePoint now);

// Whether a run that was planned at `startedAt` says something about the state of the worker now.
// One from before its last quarantine doesn't: the quarantine was based on it or on its like.
bool isEvidence(const Worker &worker, TimePoint startedAt);

// Clears what was held against a worker and ends its quarantine, since a run that was planned at
// `startedAt` has succeeded there.
void recordWorkerSuccess(Engine &engine, Worker &worker, TimePoint startedAt, TimePoint now);

// Why a worker is put into quarantine.
enum class QuarantineCause {
    Failures,  // runs of several jobs failed there
    RefusedStart,
    StalledTasks,
};

// Keeps new tasks off a worker for a while, longer each time. `run` is the last of the runs that it
// is based on, `startedAt` when that was planned.
void quarantine(Engine &engine, Worker &worker, QuarantineCause cause, const AttemptRef &run,
                TimePoint startedAt, TimePoint now);

// The number of workers in the registry that are in quarantine, of each service that has any.
std::map<ServiceId, int> quarantinedWorkers(const Engine &engine, TimePoint now);

Trust trustIn(const Worker &worker, TimePoint now);

// Whether a worker that is not trusted fully may be tried with a task. A quarantine lasts for the
// time of a first one at least, and a trial is given time to show a result.
bool isTrialDue(const Worker &worker, TimePoint now);

// Whether it may get a task that has waited for trusted workers for too long.
bool isLastResortDue(const Worker &worker, TimePoint now);

// Finds tasks without progress on workers that respond. Stops those that can start elsewhere and
// quarantines workers with several of them. Tasks of speculative steps get a copy instead.
void rescheduleStragglers(Engine &engine, TimePoint now);

}  // namespace poplarstream::engine
