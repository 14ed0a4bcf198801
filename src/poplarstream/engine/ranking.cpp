#include "poplarstream/engine/ranking.hpp"

#include <algorithm>  // for sort
#include <tuple>  // for make_tuple, tie

#include "poplarstream/engine/account_shares.hpp"  // for rankShares
#include "poplarstream/jobs/queries.hpp"  // for isStepReady, isWaiting, objective, remainingPath

namespace poplarstream::engine {

namespace {

// A result has no value later than this multiple of the time from due to objective.
constexpr int expiredAfterObjectives = 3;

bool hasStarted(const jobs::Occurrence &occurrence)
{
    for (const auto &tasks : occurrence.steps) {
        for (const jobs::Task &task : tasks) {
            if (task.lastRun > 0) {
                return true;
            }
        }
    }
    return false;
}

// Adds the job's steps that have waiting tasks now. Returns whether any task waits, even if only
// for the delay after a failure.
bool addWaitingSteps(const Engine &engine, jobs::Job &job,
                     std::map<ServiceId, std::vector<WaitingStep>> &waiting, TimePoint now)
{
    const bool isQueued = job.state == jobs::JobState::Queued;
    bool hasWaiting = false;
    for (const auto &[number, occurrence] : job.occurrences) {
        if (occurrence.isDone) {
            continue;
        }
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            const int step = static_cast<int>(i);
            if (occurrence.remaining[i] == 0 || !jobs::isStepReady(job, occurrence, step)) {
                continue;
            }
            // No task of a queued job was started, so that all wait. Most waiting jobs are queued.
            bool isDue = isQueued;
            hasWaiting = hasWaiting || isQueued;
            for (std::size_t index = 0; !isDue && index < occurrence.steps[i].size(); ++index) {
                const jobs::Task &task = occurrence.steps[i][index];
                if (jobs::isWaiting(task)) {
                    hasWaiting = true;
                    isDue = task.notBefore <= now;
                }
            }
            if (isDue) {
                waiting[serviceOf(engine, job)].push_back(
                        {&job, number, step, deadlineClassOf(job, occurrence, now),
                         job.submission.policy.priority, accounts::ShareRank::Within,
                         !isQueued && hasStarted(occurrence), jobs::objective(job, occurrence)});
            }
        }
    }
    return hasWaiting;
}

bool isRankedHigher(const WaitingStep &a, const WaitingStep &b)
{
    const auto rank = [](const WaitingStep &step) {
        return std::make_tuple(step.deadlineClass, step.priority, step.share, !step.hasStarted,
                               step.objective);
    };
    const auto rankA = rank(a);
    const auto rankB = rank(b);
    return rankA != rankB ? rankA < rankB
                          : std::tie(a.job->submission.id, a.step)
                                    < std::tie(b.job->submission.id, b.step);
}

}  // namespace

DeadlineClass deadlineClassOf(const jobs::Job &job, const jobs::Occurrence &occurrence,
                              TimePoint now)
{
    if (job.isLongRunning) {
        return DeadlineClass::LongRunning;
    }
    const TimePoint objective = jobs::objective(job, occurrence);
    const TimePoint earliest = now + jobs::remainingPath(job.submission.spec, occurrence);
    if (earliest <= objective) {
        return DeadlineClass::OnTime;
    }
    const Milliseconds allowed = objective - occurrence.dueAt;
    return earliest <= occurrence.dueAt + allowed * expiredAfterObjectives ? DeadlineClass::Late
                                                                           : DeadlineClass::Expired;
}

std::map<ServiceId, std::vector<WaitingStep>> rankWaitingSteps(Engine &engine, TimePoint now)
{
    std::map<ServiceId, std::vector<WaitingStep>> waiting;
    std::vector<jobs::Job *> served;
    for (jobs::Job *const job : engine.waiting) {
        if (jobs::isFinal(job->state) || job->isHeld
            || !addWaitingSteps(engine, *job, waiting, now)) {
            served.push_back(job);
        }
    }
    for (jobs::Job *const job : served) {
        engine.waiting.erase(*job);
    }
    rankShares(engine, waiting, now);
    for (auto &[service, steps] : waiting) {
        std::sort(steps.begin(), steps.end(), isRankedHigher);
    }
    return waiting;
}

const ServiceId &serviceOf(const Engine &engine, const jobs::Job &job)
{
    const auto queue = engine.queues.find(job.submission.policy.queue);
    return queue == engine.queues.end() ? job.submission.policy.service
                                        : queue->second.policy.service;
}

}  // namespace poplarstream::engine
