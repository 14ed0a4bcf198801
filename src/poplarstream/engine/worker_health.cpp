#include "poplarstream/engine/worker_health.hpp"

#include <algorithm>  // for max, min

#include <fmt/format.h>  // for format

#include "poplarstream/engine/attempts.hpp"  // for findAttempt, stopAttempt, stepOf
#include "poplarstream/engine/placement.hpp"  // for placementCandidates, chooseCandidate
#include "poplarstream/engine/ranking.hpp"  // for serviceOf
#include "poplarstream/jobs/queries.hpp"  // for isFinal, findTask

namespace poplarstream::engine {

namespace {

// A worker is quarantined when runs of this many jobs fail there without a success in between.
constexpr std::size_t failedJobsBeforeQuarantine = 2;
constexpr Milliseconds firstQuarantine{1500};
constexpr int maxQuarantineDoublings = 3;

// A task without progress for `stallTimeout` is stalled, if a response of its worker at least
// `stallConfirmation` after the last progress confirms it.
constexpr Milliseconds stallTimeout{1200};
constexpr Milliseconds stallConfirmation{800};
// Stalled tasks on a worker before it is quarantined: a single one may just be a long task.
constexpr std::size_t stragglersBeforeQuarantine = 3;

bool isStalled(const Worker &worker, const jobs::Attempt &attempt, TimePoint now)
{
    const TimePoint since = std::max(attempt.progressedAt, attempt.startedAt);
    return attempt.percent >= 0 && now >= since + stallTimeout
           && worker.answeredAt >= since + stallConfirmation;
}

void reschedule(Engine &engine, jobs::Job &job, const AttemptRef &ref, jobs::Attempt &attempt,
                TimePoint now)
{
    if (!attempt.isStraggler) {
        recordDecision(engine, DecisionKind::TaskStalled, ref, attempt.worker.id,
                       fmt::format("percent={} age_ms={} unmoved_ms={}", attempt.percent,
                                   (now - attempt.startedAt).count(),
                                   (now - attempt.progressedAt).count()));
    }
    attempt.isStraggler = true;
    engine.needsPlan = true;
    const jobs::StepSpec &step = stepOf(job, ref.task);
    if (step.speculative) {
        return;
    }
    std::vector<PlacementCandidate> candidates =
            placementCandidates(engine, serviceOf(engine, job), now);
    const PlacementCounts counts =
            countPlacements(engine, job.occurrences.at(ref.task.occurrence), ref.task.step);
    if (chooseCandidate(candidates, step, counts, {attempt.worker}, nullptr) != nullptr) {
        stopAttempt(engine, ref, now);
    }
}

}  // namespace

void updateWorkerHealth(Engine &engine, Worker &worker, const CompletionReport &report,
                        TimePoint now)
{
    const jobs::Job &job = engine.jobs.at(report.task.job);
    const jobs::Attempt *const attempt = findAttempt(engine, {report.task, report.run});
    if (attempt == nullptr) {
        return;
    }
    if (report.result == jobs::AttemptResult::Failed) {
        worker.failedJobs.insert(report.task.job);
        if (worker.failedJobs.size() >= failedJobsBeforeQuarantine) {
            quarantine(engine, worker, now);
        }
    } else if (report.result == jobs::AttemptResult::Done) {
        worker.failedJobs.clear();
        if (!attempt->isStraggler && !stepOf(job, report.task).longRunning) {
            worker.quarantineCount = 0;
        }
    }
}

void quarantine(Engine &engine, Worker &worker, TimePoint now)
{
    recordDecision(engine, DecisionKind::WorkerQuarantined, {}, worker.entry.incarnation.id,
                   fmt::format("failed_jobs={} suspicions={}", worker.failedJobs.size(),
                               worker.quarantineCount));
    worker.quarantinedUntil = now + firstQuarantine * (1 << worker.quarantineCount);
    worker.quarantineCount = std::min(worker.quarantineCount + 1, maxQuarantineDoublings);
}

void rescheduleStragglers(Engine &engine, TimePoint now)
{
    std::vector<AttemptRef> stalled;
    for (auto &[incarnation, worker] : engine.workers) {
        if (worker.isGone || worker.reachability != Reachability::Reachable) {
            continue;
        }
        stalled.clear();
        for (const auto &[ref, decisivePoll] : worker.attempts) {
            jobs::Job &job = engine.jobs.at(ref.task.job);
            const jobs::StepSpec &step = stepOf(job, ref.task);
            if (step.longRunning || step.gang || jobs::isFinal(job.state)) {
                continue;
            }
            jobs::Task *const task = jobs::findTask(job, ref.task);
            const jobs::Attempt *const attempt =
                    task == nullptr ? nullptr : jobs::findAttempt(*task, ref.run);
            if (attempt != nullptr && attempt->phase == jobs::AttemptPhase::Running
                && isStalled(worker, *attempt, now)) {
                stalled.push_back(ref);
            }
        }
        if (stalled.size() >= stragglersBeforeQuarantine && worker.quarantinedUntil <= now) {
            quarantine(engine, worker, now);
        }
        for (const AttemptRef &ref : stalled) {
            if (jobs::Attempt *const attempt = findAttempt(engine, ref)) {
                reschedule(engine, engine.jobs.at(ref.task.job), ref, *attempt, now);
            }
        }
    }
}

}  // namespace poplarstream::engine
