#include "poplarstream/engine/worker_health.hpp"

#include <algorithm>  // for max, min

#include <fmt/format.h>  // for format

#include "poplarstream/engine/attempts.hpp"  // for findAttempt, stopAttempt, stepOf
#include "poplarstream/engine/placement.hpp"  // for openSites, chooseSite
#include "poplarstream/engine/ranking.hpp"  // for serviceOf
#include "poplarstream/jobs/queries.hpp"  // for isFinal, findTask

namespace poplarstream::engine {

namespace {

// Runs of different jobs that fail on a worker, with none done in between, before it is set aside.
constexpr std::size_t jobsBeforeSuspicion = 2;
constexpr Milliseconds firstSuspicion{1500};
constexpr int suspicionDoublingsMost = 3;

// A task has not moved for this long although its worker reports.
constexpr Milliseconds standstill{1200};
constexpr Milliseconds reportLag{800};
// Stragglers on one worker before it is set aside: a single one may be a long task.
constexpr int stragglersBeforeSuspicion = 3;

bool standsStill(const Worker &worker, const jobs::Attempt &attempt, TimePoint now)
{
    const TimePoint since = std::max(attempt.progressedAt, attempt.startedAt);
    return attempt.percent >= 0 && now >= since + standstill
           && worker.answeredAt >= since + reportLag;
}

void relieve(Engine &engine, jobs::Job &job, const AttemptRef &ref, jobs::Attempt &attempt,
             TimePoint now)
{
    if (!attempt.isStraggler) {
        note(engine, DecisionKind::TaskStalled, ref, attempt.worker.id,
             fmt::format("percent={} age_ms={} unmoved_ms={}", attempt.percent,
                         (now - attempt.startedAt).count(), (now - attempt.progressedAt).count()));
    }
    attempt.isStraggler = true;
    engine.needsPlan = true;
    const jobs::StepSpec &step = stepOf(job, ref.task);
    if (step.speculative) {
        return;
    }
    std::vector<Site> sites = openSites(engine, serviceOf(engine, job), now);
    const Spread spread = spreadOf(engine, job.occurrences.at(ref.task.occurrence), ref.task.step);
    if (chooseSite(sites, step, spread, {attempt.worker}, nullptr) != nullptr) {
        stopAttempt(engine, ref, now);
    }
}

}  // namespace

void noteEnd(Engine &engine, Worker &worker, const CompletionReport &report, TimePoint now)
{
    const jobs::Job &job = engine.jobs.at(report.task.job);
    const jobs::Attempt *const attempt = findAttempt(engine, {report.task, report.run});
    if (attempt == nullptr) {
        return;
    }
    if (report.end == jobs::AttemptResult::Failed) {
        worker.failedJobs.insert(report.task.job);
        if (worker.failedJobs.size() >= jobsBeforeSuspicion) {
            suspect(engine, worker, now);
        }
    } else if (report.end == jobs::AttemptResult::Done) {
        worker.failedJobs.clear();
        if (!attempt->isStraggler && !stepOf(job, report.task).longRunning) {
            worker.suspicions = 0;
        }
    }
}

void suspect(Engine &engine, Worker &worker, TimePoint now)
{
    note(engine, DecisionKind::WorkerQuarantined, {}, worker.entry.incarnation.id,
         fmt::format("failed_jobs={} suspicions={}", worker.failedJobs.size(), worker.suspicions));
    worker.suspectUntil = now + firstSuspicion * (1 << worker.suspicions);
    worker.suspicions = std::min(worker.suspicions + 1, suspicionDoublingsMost);
}

void rescheduleStragglers(Engine &engine, TimePoint now)
{
    for (auto &[incarnation, worker] : engine.workers) {
        if (worker.isGone || worker.reachability != Reachability::Reachable) {
            continue;
        }
        const auto attempts = worker.attempts;
        int stragglers = 0;
        for (const auto &[ref, settledBy] : attempts) {
            jobs::Attempt *const attempt = findAttempt(engine, ref);
            jobs::Job &job = engine.jobs.at(ref.task.job);
            if (attempt == nullptr || attempt->phase != jobs::AttemptPhase::Running
                || jobs::isFinal(job.state)) {
                continue;
            }
            const jobs::StepSpec &step = stepOf(job, ref.task);
            const bool isJudged = !step.longRunning && !step.gang;
            if (isJudged && standsStill(worker, *attempt, now)) {
                ++stragglers;
                if (stragglers == stragglersBeforeSuspicion && worker.suspectUntil <= now) {
                    suspect(engine, worker, now);
                }
                relieve(engine, job, ref, *attempt, now);
            }
        }
    }
}

}  // namespace poplarstream::engine
