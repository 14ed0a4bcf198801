#pragma once

#include <string>  // for string
#include <string_view>  // for string_view
#include <type_traits>  // for is_invocable_v

#include "poplarstream/engine/state.hpp"  // for Engine, AttemptRef, Worker

namespace poplarstream::engine {

// No poll was sent after the start command yet, so a response that lacks the attempt proves
// nothing.
inline constexpr std::int64_t noDecisivePoll = std::numeric_limits<std::int64_t>::max();

jobs::Job *findJob(Engine &engine, const JobId &id);
Worker *findWorker(Engine &engine, const WorkerIncarnation &incarnation);

// The attempt that `ref` names, or null.
jobs::Attempt *findAttempt(Engine &engine, const AttemptRef &ref);

const jobs::StepSpec &stepOf(const jobs::Job &job, const TaskRef &task);

// The capacity that a task of `step` reserves on its worker. Filling tasks reserve no processor
// time.
jobs::Resources capacityUsedBy(const jobs::StepSpec &step);

// Queues a decision for the decision log.
void recordDecision(Engine &engine, DecisionKind kind, const AttemptRef &ref,
                    const WorkerId &worker, std::string inputs);

// The same for the two most frequent kinds. Under load those that the log would suppress anyway are
// only counted, and their inputs are not formatted.
template <class Inputs>
void recordDecision(Engine &engine, DecisionKind kind, const AttemptRef &ref,
                    const WorkerId &worker,
                    const Inputs &inputs) requires std::is_invocable_v<Inputs>
{
    if (engine.decisions.size() >= engine.decisionAllowance) {
        ++engine.decisionsOmitted;
        return;
    }
    recordDecision(engine, kind, ref, worker, inputs());
}

void markDirty(Engine &engine, jobs::Job &job);

// Adds an attempt of a task of `job` to its worker, reserves its capacity and counts it for the
// account of the job. A response to poll `decisivePoll` or a later one that lacks the attempt shows
// that it doesn't run.
void attach(Engine &engine, Worker &worker, const jobs::Job &job, AttemptRef ref,
            std::int64_t decisivePoll);

// Removes an attempt from its worker, frees its capacity and no longer counts it for its account.
// The task keeps the attempt.
void detach(Engine &engine, const AttemptRef &ref, const WorkerIncarnation &incarnation,
            TimePoint now);

// Removes an attempt that isn't running and can't start any more from its task and its worker.
// `details` says more for the decision log of how that is known, as key=value pairs.
void release(Engine &engine, const AttemptRef &ref, const WorkerIncarnation &incarnation,
             TimePoint now, ReleaseCause cause, std::string_view details = {});

// Releases all attempts on a worker whose incarnation or leases have expired.
void releaseAll(Engine &engine, const WorkerIncarnation &incarnation, TimePoint now,
                ReleaseCause cause);

// The number of runs on a worker that were taken over from earlier owners.
std::size_t adoptedRuns(Engine &engine, const Worker &worker);

// Sends a stop command. An attempt whose start was never sent is released at once.
void stopAttempt(Engine &engine, const AttemptRef &ref, TimePoint now);

// Stops all attempts of a job.
void stopJob(Engine &engine, const JobId &id, TimePoint now);

// Raises the token, so that the worker rejects all earlier commands once it has seen the next poll.
// Attempts that are missing from the response to that poll won't start any more.
void invalidateSentCommands(Engine &engine, Worker &worker);

// Milliseconds since `since`, or -1 if it never was; for the decision log.
std::int64_t ageMs(TimePoint since, TimePoint now);

// The fencing token for the next command to this worker.
std::int64_t currentToken(const Engine &engine, const Worker &worker);

CommandTarget targetOf(const Engine &engine, const Worker &worker);

// The latest time at which a lease renewed by a command sent at `sentAt` can still be valid.
TimePoint lapseAfter(const Engine &engine, TimePoint sentAt);

// The same for a lease of another length.
TimePoint lapseAfter(Milliseconds lease, TimePoint sentAt);

// A lower bound of the worker's clock, extrapolated from a reading. A lease that was granted by it
// never outlives lapseAfter().
std::int64_t clockNow(const Worker &worker, TimePoint now);

// Takes note of a reading of the worker's clock. One that was under way for long is less than what
// is known already.
void noteClock(Worker &worker, std::int64_t clockMs, TimePoint now);

// As above for a reading from an entry of the registry, which another writer may have left. Once
// the worker has answered, a reading that it can't have reached by now is ignored: by a clock that
// is too high, leases would outlive lapseAfter().
void noteListedClock(Worker &worker, std::int64_t clockMs, TimePoint now);

}  // namespace poplarstream::engine
