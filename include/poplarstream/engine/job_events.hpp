#pragma once

#include <cstdint>  // for int64_t
#include <string_view>  // for string_view

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/engine/state.hpp"  // for Engine, JobId

namespace poplarstream::engine {

// The same moment on the steady clock and as Unix time.
struct ClockReading
{
    TimePoint steady{};
    std::int64_t unixMs = 0;
};

// Takes an accepted job. A job that is known already is left as it is.
void submitJob(Engine &engine, jobs::Submission submission, const ClockReading &now);

// Takes a caller's cancellation, also of a job that was not seen yet.
void cancelJob(Engine &engine, const JobId &id, TimePoint now);

// Applies what an earlier owner stored about a job. Its attempts may run on their workers until
// `lapsedAt`, when no worker answers before.
Result<bool> adoptProgress(Engine &engine, const JobId &id, std::string_view text,
                           TimePoint lapsedAt, TimePoint now);

// Opens occurrences that are due and forgets jobs that completed long ago.
void tickJobs(Engine &engine, const ClockReading &now);

// Takes the queues and services of a configuration.
void configure(Engine &engine, std::map<QueueId, Queue> queues,
               std::map<ServiceId, Service> services);

}  // namespace poplarstream::engine
