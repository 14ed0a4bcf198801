#include "poplarstream/engine/evacuation.hpp"

#include <algorithm>  // for max, any_of

#include "poplarstream/engine/attempts.hpp"  // for findAttempt, stepOf, stopAttempt
#include "poplarstream/engine/placement.hpp"  // for openSites, chooseSite, spreadOf
#include "poplarstream/engine/ranking.hpp"  // for serviceOf

namespace poplarstream::engine {

namespace {

constexpr int wholePercent = 100;
// A worker with tasks is looked at more often than this.
constexpr Milliseconds reportAge{2500};

// Whether an earlier owner may have stopped the attempt right before its commands became void:
// until the stop has taken effect, the worker reports the task as at work.
bool mayBeStopping(const Engine &engine, const jobs::Attempt &attempt, const Worker &worker,
                   TimePoint now)
{
    return attempt.isInherited && now < worker.openedAt + engine.limits.stopTimeout;
}

// Whether a worker that answers has said lately that the task is at work.
bool isAtWork(const Engine &engine, const jobs::Task &task, TimePoint now)
{
    return std::any_of(
            task.attempts.begin(), task.attempts.end(), [&](const jobs::Attempt &attempt) {
                const auto worker = engine.workers.find(attempt.worker);
                return attempt.phase == jobs::AttemptPhase::Running
                       && attempt.percent >= wholePercent && worker != engine.workers.end()
                       && worker->second.reachability == Reachability::Reachable
                       && worker->second.answeredAt + reportAge >= now
                       && !mayBeStopping(engine, attempt, worker->second, now);
            });
}

void hold(Worker &worker, EvacuationHold why)
{
    if (!worker.heldBy) {
        worker.heldBy = std::move(why);
    }
}

// Other tasks of the step that are not at work.
int missingBeside(const Engine &engine, const jobs::Occurrence &occurrence, const TaskRef &task,
                  TimePoint now)
{
    int missing = 0;
    const auto &tasks = occurrence.steps[static_cast<std::size_t>(task.step)];
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        if (static_cast<int>(index) != task.index && !isAtWork(engine, tasks[index], now)) {
            ++missing;
        }
    }
    return missing;
}

void evacuateTask(Engine &engine, Worker &worker, const AttemptRef &ref, bool isLeaving,
                  TimePoint now)
{
    jobs::Job &job = engine.jobs.at(ref.task.job);
    const jobs::StepSpec &step = stepOf(job, ref.task);
    const jobs::Attempt *const attempt = findAttempt(engine, ref);
    if (!step.longRunning || attempt == nullptr || attempt->phase != jobs::AttemptPhase::Running) {
        return;
    }
    const jobs::Occurrence &occurrence = job.occurrences.at(ref.task.occurrence);
    // A step that names no number still loses its tasks one by one.
    const int missing = missingBeside(engine, occurrence, ref.task, now);
    if (!isLeaving && missing >= std::max(step.mayMiss, 1)) {
        hold(worker, {ref.task, missing, true});
        return;
    }
    std::vector<Site> sites = openSites(engine, serviceOf(engine, job), now);
    const Spread spread = spreadOf(engine, occurrence, ref.task.step);
    if (chooseSite(sites, step, spread, {attempt->worker}, nullptr) != nullptr) {
        stopAttempt(engine, ref, now);
    } else {
        hold(worker, {ref.task, missing, false});
    }
}

}  // namespace

void evacuate(Engine &engine, TimePoint now)
{
    for (auto &[incarnation, worker] : engine.workers) {
        worker.heldBy.reset();
        const bool mustLeave = worker.entry.isDraining && worker.isListed;
        if (worker.isGone || worker.reachability != Reachability::Reachable
            || !(mustLeave || worker.isCordoned)) {
            continue;
        }
        const auto attempts = worker.attempts;
        for (const auto &[ref, settledBy] : attempts) {
            evacuateTask(engine, worker, ref, mustLeave, now);
        }
    }
}

}  // namespace poplarstream::engine
