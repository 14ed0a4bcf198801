#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine, AttemptRef, Worker

namespace poplarstream::engine {

// The absence of an attempt in a worker's lists means nothing before a poll that was sent later.
inline constexpr std::int64_t neverSettled = std::numeric_limits<std::int64_t>::max();

jobs::Job *findJob(Engine &engine, const JobId &id);
Worker *findWorker(Engine &engine, const WorkerIncarnation &incarnation);

// The task and the attempt that `ref` names, or null.
jobs::Attempt *findAttempt(Engine &engine, const AttemptRef &ref);

const jobs::StepSpec &stepOf(const jobs::Job &job, const TaskRef &task);

// What an attempt takes from its worker's room: fillers take no processor time.
jobs::Resources capacityUsedBy(const jobs::StepSpec &step);

// Notes a decision for the log.
void note(Engine &engine, DecisionKind kind, const AttemptRef &ref, const WorkerId &worker,
          std::string inputs);

void markDirty(Engine &engine, jobs::Job &job);

// Enters an attempt at its worker and takes its room.
void attach(Engine &engine, const AttemptRef &ref, const WorkerIncarnation &incarnation,
            std::int64_t settledBy);

// Removes an attempt from its worker's book and frees its room. The task is not changed.
void detach(Engine &engine, const AttemptRef &ref, const WorkerIncarnation &incarnation,
            TimePoint now);

// Takes an attempt that does not run and never will off its task and its worker.
void release(Engine &engine, const AttemptRef &ref, const WorkerIncarnation &incarnation,
             TimePoint now);

// The same for everything on a worker whose incarnation or leases are over.
void releaseAll(Engine &engine, const WorkerIncarnation &incarnation, TimePoint now);

// Orders an attempt to stop. One that was not ordered yet is released at once.
void stopAttempt(Engine &engine, const AttemptRef &ref, TimePoint now);

// Stops all attempts of a job.
void stopJob(Engine &engine, const JobId &id, TimePoint now);

// The token that an order to this worker carries now.
std::int64_t currentToken(const Engine &engine, const Worker &worker);

CommandTarget targetOf(const Engine &engine, const Worker &worker);

// When everything has lapsed whose lease was last renewed by an order sent at `sentAt`.
TimePoint lapseAfter(const Engine &engine, TimePoint sentAt);

// The worker's clock as it must read now at least.
std::int64_t clockNow(const Worker &worker, TimePoint now);

}  // namespace poplarstream::engine
