#pragma once

#include <optional>  // for optional

#include "poplarstream/engine/state.hpp"  // for Engine, JobId, QueueId

namespace poplarstream::engine {

// The state to report to a caller, or nothing if the job isn't known. To a caller of the account
// `caller` the jobs of other accounts aren't known; callers of a public queue have no account.
std::optional<jobs::JobState> stateOf(const Engine &engine, const QueueId &queue, const JobId &id,
                                      const AccountId &caller = {});

// The number of accepted jobs of a queue without a started task. Repeating jobs don't count.
int waitingJobs(const Engine &engine, const QueueId &queue);

}  // namespace poplarstream::engine
