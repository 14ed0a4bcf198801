#pragma once

#include <cstdint>  // for int64_t
#include <optional>  // for optional
#include <span>  // for span
#include <string_view>  // for string_view

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/engine/state.hpp"  // for Engine, JobId

namespace poplarstream::engine {

// One instant on the steady clock and as Unix time.
struct ClockReading
{
    TimePoint steady{};
    std::int64_t unixMs = 0;
};

// Adds an accepted job. Does nothing if the job is already known or is being deleted.
void submitJob(Engine &engine, jobs::Submission submission, const ClockReading &now);

// Cancels a job. A cancellation that is read before its submission applies once that is read.
//
// A job that belongs to an account is cancelled by that account, and by callers without one on its
// queue if that is public now: else a caller of a public queue could cancel any job by its id.
// Without `caller` each job is cancelled.
void cancelJob(Engine &engine, const JobId &id, TimePoint now,
               const std::optional<Canceller> &caller = {});

// Notes that the submission of a forgotten job is no longer in the job log.
void confirmDeletion(Engine &engine, const JobId &id);

// Applies the progress that a previous owner stored. The attempts in it may still run: each counts
// as running until its worker responds, at the latest until `lapsedAt`.
//
// `head` is the value under the id of the job, `parts` are its other records, the oldest first. If
// they cannot be read in full, the job is held, see holdJob().
Result<bool> adoptProgress(Engine &engine, const JobId &id, std::string_view head,
                           TimePoint lapsedAt, TimePoint now,
                           std::span<const ProgressRecord> parts = {});

// Keeps a job from starting because its stored progress could not be read in full: tasks that have
// ended might run again. Its records stay as they are until it is cancelled, so that a later owner
// can read them. `parts` are those besides the one under its id. Does nothing for an unknown job.
void holdJob(Engine &engine, const JobId &id, std::span<const ProgressRecord> parts);

// Adds a job of which only the state is of interest, since it has ended and nothing of it runs.
void adoptSettledJob(Engine &engine, const JobId &id, const jobs::SubmissionOrigin &origin,
                     jobs::JobState state, TimePoint now);

// Opens occurrences that are due and removes finished jobs after their retention time.
void tickJobs(Engine &engine, const ClockReading &now);

// Replaces the client accounts with those of a new configuration. `limits` has this owner's part of
// each account's cap, and `jobShare` is the part of the deployment's jobs that it gets.
void configureAccounts(Engine &engine, accounts::ClientAccounts accounts,
                       std::map<AccountId, jobs::Resources> limits, double jobShare = 1);

// Replaces the queues and services with those of a new configuration.
void configure(Engine &engine, std::map<QueueId, Queue> queues,
               std::map<ServiceId, Service> services);

}  // namespace poplarstream::engine
