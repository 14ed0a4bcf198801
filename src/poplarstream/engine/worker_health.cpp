#include "poplarstream/engine/worker_health.hpp"

#include <algorithm>  // for max, min, sort
#include <string_view>  // for string_view
#include <utility>  // for exchange

#include <fmt/format.h>  // for format

#include "poplarstream/engine/account_caps.hpp"  // for mayRestart
#include "poplarstream/engine/attempts.hpp"  // for ageMs, findAttempt, stopAttempt, stepOf
#include "poplarstream/engine/placement.hpp"  // for placementCandidates, chooseCandidate
#include "poplarstream/engine/ranking.hpp"  // for serviceOf
#include "poplarstream/engine/run_outcomes.hpp"  // for recordOutcome, weighFailures
#include "poplarstream/jobs/queries.hpp"  // for isFinal, findTask

namespace poplarstream::engine {

namespace {

// A worker is quarantined when runs of this many jobs fail there without a success in between, and
// it is so much more likely that it is bad.
constexpr std::size_t failedJobsBeforeQuarantine = 2;
constexpr double maxLikelihoodRatio = 0.05;
// More of them add nothing: the rates that they are compared with are estimates.
constexpr std::size_t maxFailedJobs = 16;
constexpr Milliseconds firstQuarantine{1500};
constexpr int maxQuarantineDoublings = 3;
// Between tasks for a worker that is not trusted fully. Most failing runs end sooner than the
// first; the second bounds what is lost where all workers of a service fail.
constexpr Milliseconds trialInterval{500};
constexpr Milliseconds lastResortInterval{100};

// A task without progress for `stallTimeout` is stalled, if a response of its worker at least
// `stallConfirmation` after the last progress confirms it.
constexpr Milliseconds stallTimeout{1200};
constexpr Milliseconds stallConfirmation{800};
// Stalled tasks on a worker before it is quarantined: a single one may just be a long task.
constexpr std::size_t stragglersBeforeQuarantine = 3;

// Whether the attempt is without progress for so long that it is stalled if its worker confirms it.
// A task that is to work below full pace may make none.
bool isSuspected(const jobs::Attempt &attempt, TimePoint now)
{
    return attempt.phase == jobs::AttemptPhase::Running && attempt.percent >= 0
           && attempt.pacedSince == TimePoint{}
           && now >= std::max(attempt.progressedAt, attempt.startedAt) + stallTimeout;
}

// Whether the worker has responded since, and still has the attempt.
bool isConfirmed(const Engine &engine, const jobs::Attempt &attempt, const AttemptRef &ref)
{
    const auto place = engine.workers.find(attempt.worker);
    if (place == engine.workers.end()) {
        return false;
    }
    const Worker &worker = place->second;
    const TimePoint since = std::max(attempt.progressedAt, attempt.startedAt);
    return !worker.isGone && worker.reachability == Reachability::Reachable
           && worker.answeredAt >= since + stallConfirmation && worker.attempts.contains(ref);
}

// The stalled attempts, in the order of workers and attempts. Looks for them in the jobs, since
// looking up the job of each attempt of each worker costs several times as much.
std::map<WorkerIncarnation, std::vector<AttemptRef>> stalledAttempts(const Engine &engine,
                                                                     TimePoint now)
{
    std::map<WorkerIncarnation, std::vector<AttemptRef>> stalled;
    for (const jobs::Job *const job : engine.active) {
        if (job->state != jobs::JobState::Running) {
            continue;  // has no attempts yet, or is being stopped
        }
        const std::vector<jobs::StepSpec> &specs = job->submission.spec.steps;
        for (const auto &[number, occurrence] : job->occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                if (specs[step].longRunning || specs[step].gang) {
                    continue;
                }
                const std::vector<jobs::Task> &tasks = occurrence.steps[step];
                for (std::size_t index = 0; index < tasks.size(); ++index) {
                    for (const jobs::Attempt &attempt : tasks[index].attempts) {
                        if (!isSuspected(attempt, now)) {
                            continue;
                        }
                        const AttemptRef ref{{job->submission.id, number, static_cast<int>(step),
                                              static_cast<int>(index)},
                                             attempt.run};
                        if (isConfirmed(engine, attempt, ref)) {
                            stalled[attempt.worker].push_back(ref);
                        }
                    }
                }
            }
        }
    }
    for (auto &[incarnation, attempts] : stalled) {
        std::sort(attempts.begin(), attempts.end());
    }
    return stalled;
}

std::string_view causeText(QuarantineCause cause)
{
    switch (cause) {
    case QuarantineCause::Failures:
        return "failures";
    case QuarantineCause::RefusedStart:
        return "refused-start";
    case QuarantineCause::StalledTasks:
        break;
    }
    return "stalled-tasks";
}

// The workers of one service in the registry.
struct ServiceWorkers
{
    int listed = 0;
    int quarantined = 0;
};

ServiceWorkers workersOf(const Engine &engine, const ServiceId &service, TimePoint now)
{
    ServiceWorkers counts;
    for (const auto &[incarnation, worker] : engine.workers) {
        if (worker.entry.service == service && worker.isListed && !worker.isGone) {
            ++counts.listed;
            counts.quarantined += worker.quarantinedUntil > now ? 1 : 0;
        }
    }
    return counts;
}

void noteFailure(FailureStreak &streak, const CompletionReport &report, std::string_view kind,
                 TimePoint startedAt, TimePoint now)
{
    if (streak.jobs.empty() || startedAt < streak.firstStartedAt) {
        streak.firstStartedAt = startedAt;
    }
    streak.longestRun = std::max(streak.longestRun, now - startedAt);
    streak.last = {report.task, report.run};
    streak.lastStartedAt = startedAt;
    streak.isReviewed = false;
    if (streak.jobs.size() < maxFailedJobs || streak.jobs.contains(report.task.job)) {
        FailedJob &job = streak.jobs[report.task.job];
        job.kind = kind;
        ++job.runs;
    }
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
    const WorkerIncarnation avoid[] = {attempt.worker};
    if (mayRestart(engine, job, step)
        && chooseCandidate(candidates, step, counts, {.avoid = avoid}) != nullptr) {
        stopAttempt(engine, ref, now);
    }
}

}  // namespace

bool isEvidence(const Worker &worker, TimePoint startedAt)
{
    return worker.quarantinedAt == TimePoint{} || startedAt > worker.quarantinedAt;
}

void recordWorkerSuccess(Engine &engine, Worker &worker, TimePoint startedAt, TimePoint now)
{
    if (!isEvidence(worker, startedAt)) {
        return;
    }
    worker.failures = {};
    if (trustIn(worker, now) != Trust::Full) {
        recordDecision(
                engine, DecisionKind::WorkerTrusted, {}, worker.entry.incarnation.id,
                fmt::format("suspicions={} quarantined_ms_ago={} left_ms={}",
                            worker.quarantineCount, ageMs(worker.quarantinedAt, now),
                            std::max(worker.quarantinedUntil - now, Milliseconds{0}).count()));
        worker.quarantinedUntil = std::min(worker.quarantinedUntil, now);
        engine.needsPlan = true;
    }
    worker.quarantineCount = 0;
}

void reviewFailures(Engine &engine, Worker &worker, TimePoint now)
{
    if (std::exchange(worker.failures.isReviewed, true)
        || worker.failures.jobs.size() < failedJobsBeforeQuarantine) {
        return;
    }
    if (weighFailures(engine, worker, now).likelihoodRatio <= maxLikelihoodRatio) {
        const FailureStreak &streak = worker.failures;
        quarantine(engine, worker, QuarantineCause::Failures, streak.last, streak.lastStartedAt,
                   now);
    }
}

void updateWorkerHealth(Engine &engine, Worker &worker, const CompletionReport &report,
                        TimePoint now)
{
    jobs::Job &job = engine.jobs.at(report.task.job);
    const jobs::Attempt *const attempt = findAttempt(engine, {report.task, report.run});
    if (attempt == nullptr || attempt->worker != worker.entry.incarnation
        || !isEvidence(worker, attempt->startedAt)) {
        return;
    }
    const jobs::StepSpec &step = stepOf(job, report.task);
    const bool hasServed = step.longRunning && attempt->percent >= jobs::readyPercent;
    if (report.result == jobs::AttemptResult::Failed && hasServed) {
        return;  // it may fail at any time, on any worker
    }
    const std::string kind = kindOf(job, step, *jobs::findTask(job, report.task));
    if (report.result == jobs::AttemptResult::Failed) {
        recordOutcome(engine, worker, kind, true, attempt->startedAt, now);
        noteFailure(worker.failures, report, kind, attempt->startedAt, now);
    } else if (report.result == jobs::AttemptResult::Done) {
        worker.failures = {};
        if (!attempt->isStraggler && !step.longRunning) {
            recordOutcome(engine, worker, kind, false, attempt->startedAt, now);
            recordWorkerSuccess(engine, worker, attempt->startedAt, now);
        }
    }
}

void quarantine(Engine &engine, Worker &worker, QuarantineCause cause, const AttemptRef &run,
                TimePoint startedAt, TimePoint now)
{
    const Milliseconds length = firstQuarantine * (1 << worker.quarantineCount);
    const TimePoint previousAt = worker.quarantinedAt;
    worker.quarantinedAt = now;
    worker.quarantinedUntil = now + length;
    const ServiceWorkers workers = workersOf(engine, worker.entry.service, now);
    const FailureEvidence evidence = weighFailures(engine, worker, now);
    recordDecision(engine, DecisionKind::WorkerQuarantined, run, worker.entry.incarnation.id,
                   fmt::format("cause={} failed_jobs={} survivors={} likelihood={:.4f} "
                               "suspicions={} lasts_ms={} run_age_ms={} previous_ms_ago={} "
                               "workers={} quarantined={}",
                               causeText(cause), evidence.failedJobs, evidence.survivors,
                               evidence.likelihoodRatio, worker.quarantineCount, length.count(),
                               ageMs(startedAt, now), ageMs(previousAt, now), workers.listed,
                               workers.quarantined));
    worker.failures = {};
    worker.quarantineCount = std::min(worker.quarantineCount + 1, maxQuarantineDoublings);
}

std::map<ServiceId, int> quarantinedWorkers(const Engine &engine, TimePoint now)
{
    std::map<ServiceId, int> counts;
    for (const auto &[incarnation, worker] : engine.workers) {
        if (worker.isListed && !worker.isGone && worker.quarantinedUntil > now) {
            ++counts[worker.entry.service];
        }
    }
    return counts;
}

Trust trustIn(const Worker &worker, TimePoint now)
{
    return worker.quarantinedUntil > now ? Trust::Quarantined
           : worker.quarantineCount > 0  ? Trust::Probation
                                         : Trust::Full;
}

bool isTrialDue(const Worker &worker, TimePoint now)
{
    return worker.quarantinedAt + firstQuarantine <= now && worker.triedAt + trialInterval <= now;
}

bool isLastResortDue(const Worker &worker, TimePoint now)
{
    return worker.triedAt + lastResortInterval <= now;
}

void rescheduleStragglers(Engine &engine, TimePoint now)
{
    const std::map<WorkerIncarnation, std::vector<AttemptRef>> stalledByWorker =
            stalledAttempts(engine, now);
    for (const auto &[incarnation, stalled] : stalledByWorker) {
        Worker &worker = engine.workers.at(incarnation);
        if (stalled.size() >= stragglersBeforeQuarantine && worker.quarantinedUntil <= now) {
            const jobs::Attempt *const last = findAttempt(engine, stalled.back());
            quarantine(engine, worker, QuarantineCause::StalledTasks, stalled.back(),
                       last == nullptr ? now : last->startedAt, now);
        }
        for (const AttemptRef &ref : stalled) {
            if (jobs::Attempt *const attempt = findAttempt(engine, ref)) {
                reschedule(engine, engine.jobs.at(ref.task.job), ref, *attempt, now);
            }
        }
    }
}

}  // namespace poplarstream::engine
