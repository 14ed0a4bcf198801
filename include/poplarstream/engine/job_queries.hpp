#pragma once

#include <optional>  // for optional

#include "poplarstream/engine/state.hpp"  // for Engine, JobId, QueueId

namespace poplarstream::engine {

// The state that a caller may be told, or nothing when the job is not known.
std::optional<jobs::JobState> stateOf(const Engine &engine, const QueueId &queue, const JobId &id);

// Accepted jobs of a queue, timed ones aside, of which no task has begun.
int waitingJobs(const Engine &engine, const QueueId &queue);

}  // namespace poplarstream::engine
