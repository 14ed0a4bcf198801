#include "poplarstream/engine/ranking.hpp"

#include <algorithm>  // for sort, any_of

#include "poplarstream/jobs/queries.hpp"  // for isStepReady, objective, remainingPath

namespace poplarstream::engine {

namespace {

// A result has no value later than this multiple of the time from due to objective.
constexpr int expiredAfterObjectives = 3;

bool isWaiting(const jobs::Task &task, TimePoint now)
{
    return !task.isDone && task.attempts.empty() && task.notBefore <= now;
}

bool hasWaiting(const std::vector<jobs::Task> &tasks, TimePoint now)
{
    return std::any_of(tasks.begin(), tasks.end(),
                       [now](const jobs::Task &task) { return isWaiting(task, now); });
}

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

auto rankOf(const WaitingStep &step)
{
    return std::make_tuple(step.deadlineClass, step.priority, !step.hasStarted, step.objective,
                           step.job->submission.id, step.step);
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
    for (const JobId &id : engine.active) {
        jobs::Job &job = engine.jobs.at(id);
        if (jobs::isFinal(job.state)) {
            continue;
        }
        for (const auto &[number, occurrence] : job.occurrences) {
            if (occurrence.isDone) {
                continue;
            }
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const int step = static_cast<int>(i);
                if (occurrence.remaining[i] == 0 || !hasWaiting(occurrence.steps[i], now)
                    || !jobs::isStepReady(job, occurrence, step)) {
                    continue;
                }
                waiting[serviceOf(engine, job)].push_back(
                        {&job, number, step, deadlineClassOf(job, occurrence, now),
                         job.submission.policy.priority, hasStarted(occurrence),
                         jobs::objective(job, occurrence)});
            }
        }
    }
    for (auto &[service, steps] : waiting) {
        std::sort(steps.begin(), steps.end(),
                  [](const WaitingStep &a, const WaitingStep &b) { return rankOf(a) < rankOf(b); });
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
