#include "poplarstream/engine/last_resort.hpp"

#include <algorithm>  // for min

#include "poplarstream/jobs/queries.hpp"  // for isWaiting

namespace poplarstream::engine {

namespace {

// With the delay after a failure and the time until the next plan, a task that is due beside free
// capacity runs again within 3 s.
constexpr Milliseconds longestHold{2000};

bool isMostlyIdle(std::span<const PlacementCandidate> candidates)
{
    std::int64_t capacity = 0;
    std::int64_t free = 0;
    for (const PlacementCandidate &candidate : candidates) {
        capacity += candidate.worker->entry.capacity.cpuMilli;
        free += candidate.freeCapacity.cpuMilli;
    }
    return free * 2 > capacity;
}

}  // namespace

bool isHeldTooLong(const jobs::Task &task, TimePoint now)
{
    return task.heldSince != TimePoint{} && task.heldSince + longestHold <= now;
}

LastResort lastResortFor(const jobs::Job &job, const jobs::Task &task, const jobs::StepSpec &step,
                         std::span<const PlacementCandidate> candidates, TimePoint now)
{
    if (!step.longRunning && !isMostlyIdle(candidates)) {
        return LastResort::None;
    }
    if (isHeldTooLong(task, now)) {
        return LastResort::Any;
    }
    const bool isLastAttempt =
            !step.longRunning && task.failures + 1 >= job.submission.policy.maxAttempts;
    return isLastAttempt ? LastResort::None : LastResort::Trial;
}

LastResort lastResortForGang(const jobs::Job &job, std::span<const jobs::Task> members,
                             const jobs::StepSpec &step,
                             std::span<const PlacementCandidate> candidates, TimePoint now)
{
    LastResort lastResort = LastResort::Any;
    for (const jobs::Task &member : members) {
        lastResort = std::min(lastResort, lastResortFor(job, member, step, candidates, now));
    }
    return lastResort;
}

void noteHeld(std::span<jobs::Task> tasks, TimePoint now)
{
    for (jobs::Task &task : tasks) {
        if (jobs::isWaiting(task) && task.notBefore <= now && task.heldSince == TimePoint{}) {
            task.heldSince = now;
        }
    }
}

}  // namespace poplarstream::engine
