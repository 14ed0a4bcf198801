#include "poplarstream/engine/evacuation.hpp"

#include <algorithm>  // for max, any_of
#include <vector>  // for vector

#include "poplarstream/engine/account_caps.hpp"  // for mayRestart
#include "poplarstream/engine/attempts.hpp"  // for findAttempt, stepOf, stopAttempt
#include "poplarstream/engine/placement.hpp"  // for chooseCandidate, countPlacements
#include "poplarstream/engine/ranking.hpp"  // for serviceOf

namespace poplarstream::engine {

namespace {

// A worker with tasks is polled more often than this.
constexpr Milliseconds maxReportAge{2500};

// Whether a stop command of the previous owner may still be taking effect. Until it has, the worker
// reports the task as running.
bool mayBeStopping(const Engine &engine, const jobs::Attempt &attempt, const Worker &worker,
                   TimePoint now)
{
    return attempt.isFromPreviousOwner && now < worker.firstAnsweredAt + engine.limits.stopTimeout;
}

// Whether a reachable worker has recently reported the task as ready.
bool isReady(const Engine &engine, const jobs::Task &task, TimePoint now)
{
    return std::any_of(
            task.attempts.begin(), task.attempts.end(), [&](const jobs::Attempt &attempt) {
                const auto worker = engine.workers.find(attempt.worker);
                return attempt.phase == jobs::AttemptPhase::Running
                       && attempt.percent >= jobs::readyPercent && worker != engine.workers.end()
                       && worker->second.reachability == Reachability::Reachable
                       && worker->second.answeredAt + maxReportAge >= now
                       && !mayBeStopping(engine, attempt, worker->second, now);
            });
}

void hold(Worker &worker, EvacuationHold why)
{
    if (!worker.heldBy) {
        worker.heldBy = std::move(why);
    }
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
    // A step with `mayMiss` 0 can still be moved one task at a time.
    const int missing = otherTasksNotReady(engine, occurrence, ref.task, now);
    if (!isLeaving && missing >= std::max(step.mayMiss, 1)) {
        hold(worker, {ref.task, missing, true});
        return;
    }
    std::vector<PlacementCandidate> candidates =
            placementCandidates(engine, serviceOf(engine, job), now);
    const PlacementCounts counts = countPlacements(engine, occurrence, ref.task.step);
    const WorkerIncarnation avoid[] = {attempt->worker};
    // Beyond its account's cap, as after a change of the cap, it could not start elsewhere.
    if (mayRestart(engine, job, step)
        && chooseCandidate(candidates, step, counts, {.avoid = avoid}) != nullptr) {
        stopAttempt(engine, ref, now);
    } else {
        hold(worker, {ref.task, missing, false});
    }
}

void evacuateWorker(Engine &engine, Worker &worker, bool isLeaving, TimePoint now)
{
    const auto attempts = worker.attempts;
    for (const auto &[ref, decisivePoll] : attempts) {
        evacuateTask(engine, worker, ref, isLeaving, now);
    }
}

}  // namespace

int otherTasksNotReady(const Engine &engine, const jobs::Occurrence &occurrence,
                       const TaskRef &task, TimePoint now)
{
    int missing = 0;
    const auto &tasks = occurrence.steps[static_cast<std::size_t>(task.step)];
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        if (static_cast<int>(index) != task.index && !isReady(engine, tasks[index], now)) {
            ++missing;
        }
    }
    return missing;
}

void evacuate(Engine &engine, TimePoint now)
{
    std::vector<Worker *> cordoned;
    for (auto &[incarnation, worker] : engine.workers) {
        worker.heldBy.reset();
        const bool isLeaving = worker.entry.isDraining && worker.isListed;
        if (worker.isGone || worker.reachability != Reachability::Reachable) {
            continue;
        }
        if (isLeaving) {
            evacuateWorker(engine, worker, true, now);
        } else if (worker.isCordoned) {
            cordoned.push_back(&worker);
        }
    }
    // Last, so that the tasks that had to go off leaving workers count as missing.
    for (Worker *const worker : cordoned) {
        evacuateWorker(engine, *worker, false, now);
    }
}

void stopShortTasks(Engine &engine, const Worker &worker, TimePoint now)
{
    const auto attempts = worker.attempts;
    for (const auto &[ref, decisivePoll] : attempts) {
        const jobs::Attempt *const attempt = findAttempt(engine, ref);
        const bool isRunning = attempt != nullptr && attempt->phase == jobs::AttemptPhase::Running;
        if (isRunning && !stepOf(engine.jobs.at(ref.task.job), ref.task).longRunning) {
            stopAttempt(engine, ref, now);
        }
    }
}

}  // namespace poplarstream::engine
