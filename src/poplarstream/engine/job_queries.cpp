#include "poplarstream/engine/job_queries.hpp"

#include "poplarstream/jobs/queries.hpp"  // for isFinal

namespace poplarstream::engine {

std::optional<jobs::JobState> stateOf(const Engine &engine, const QueueId &queue, const JobId &id,
                                      const AccountId &caller)
{
    const auto found = engine.jobs.find(id);
    if (found == engine.jobs.end() || found->second.submission.policy.queue != queue) {
        return {};
    }
    const jobs::Job &job = found->second;
    const AccountId &account = job.submission.account;
    if (!account.isEmpty() && !caller.isEmpty() && account != caller) {
        return {};
    }
    // A final state that isn't durable yet would be lost if this process failed.
    return jobs::isFinal(job.state) ? job.durableState : job.state;
}

int waitingJobs(const Engine &engine, const QueueId &queue)
{
    int count = 0;
    for (const jobs::Job *const each : engine.active) {
        const jobs::Job &job = *each;
        if (job.submission.policy.queue == queue && !job.hasBegun && !jobs::isFinal(job.state)
            && job.submission.spec.repeatCount == 0) {
            ++count;
        }
    }
    return count;
}

}  // namespace poplarstream::engine
