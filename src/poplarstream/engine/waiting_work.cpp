#include "poplarstream/engine/waiting_work.hpp"

#include <algorithm>  // for count_if, max

#include "poplarstream/engine/attempts.hpp"  // for capacityUsedBy
#include "poplarstream/jobs/queries.hpp"  // for isFinal, isStepReady, isWaiting

namespace poplarstream::engine {

namespace {

// Bounds the time of one call. Owners with more waiting jobs lack whole parts of a cap anyway.
constexpr std::size_t maxJobsVisited = 2'000;

jobs::Resources times(const jobs::Resources &need, std::int64_t count)
{
    return {need.cpuMilli * count, need.memoryMb * count, need.gpus * count};
}

void addStep(accounts::WaitingWork &work, const jobs::StepSpec &spec, std::int64_t count)
{
    const jobs::Resources need = capacityUsedBy(spec);
    work.total += times(need, count);
    const jobs::Resources together = spec.gang ? times(need, count) : need;
    for (const auto field : accounts::resourceFields) {
        work.widest.*field = std::max(work.widest.*field, together.*field);
    }
}

void addJob(accounts::WaitingWork &work, const jobs::Job &job, TimePoint now)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t i = 0; !occurrence.isDone && i < occurrence.steps.size(); ++i) {
            if (occurrence.remaining[i] == 0
                || !jobs::isStepReady(job, occurrence, static_cast<int>(i))) {
                continue;
            }
            const auto &tasks = occurrence.steps[i];
            const auto count =
                    std::count_if(tasks.begin(), tasks.end(), [now](const jobs::Task &task) {
                        return jobs::isWaiting(task) && task.notBefore <= now;
                    });
            if (count > 0) {
                addStep(work, job.submission.spec.steps[i], count);
            }
        }
    }
}

}  // namespace

std::map<AccountId, accounts::WaitingWork> waitingWork(const Engine &engine, TimePoint now)
{
    std::map<AccountId, accounts::WaitingWork> waiting;
    std::size_t visited = 0;
    for (const jobs::Job *const job : engine.waiting) {
        if (++visited > maxJobsVisited) {
            break;
        }
        const AccountId &account = job->submission.account;
        if (!account.isEmpty() && !job->isHeld && !jobs::isFinal(job->state)) {
            addJob(waiting[account], *job, now);
        }
    }
    return waiting;
}

}  // namespace poplarstream::engine
