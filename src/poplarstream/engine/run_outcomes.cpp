#include "poplarstream/engine/run_outcomes.hpp"

#include <algorithm>  // for max
#include <cmath>  // for pow

#include "poplarstream/engine/attempts.hpp"  // for findAttempt, stepOf
#include "poplarstream/jobs/queries.hpp"  // for findTask

namespace poplarstream::engine {

namespace {

constexpr Milliseconds outcomeMemory{20'000};
constexpr std::size_t maxOutcomesOfKind = 256;
constexpr std::size_t maxKinds = 256;

// Two runs, of which a twentieth has failed, or half if they repeat a task, stand for what
// is not known.
constexpr double priorRuns = 2;
constexpr double priorFailures = 0.1;
constexpr double priorRepeatedFailures = 1;
constexpr std::string_view retrySuffix = "/retry";

constexpr double failureRateOfBadWorker = 0.9;

void forgetOldKinds(Engine &engine, TimePoint now)
{
    std::erase_if(engine.outcomes, [now](const auto &entry) {
        return entry.second.empty() || entry.second.back().endedAt + outcomeMemory < now;
    });
}

// Whether the worker has just listed the run, which was begun no earlier than those that failed and
// has taken longer.
bool hasOutlived(const FailureStreak &streak, const jobs::Attempt &attempt, const Worker &worker,
                 TimePoint now)
{
    return attempt.phase == jobs::AttemptPhase::Running && attempt.aliveAt == worker.pollSentAt
           && attempt.startedAt >= streak.firstStartedAt
           && now - attempt.startedAt >= streak.longestRun;
}

// Whether the worker has proven sound since the run ended.
bool isProvenSince(const Engine &engine, const RunOutcome &outcome)
{
    const auto worker = engine.workers.find(outcome.worker);
    return worker != engine.workers.end() && worker->second.provenSince >= outcome.endedAt;
}

}  // namespace

std::string kindOf(const jobs::Job &job, const jobs::StepSpec &step, const jobs::Task &task)
{
    std::string kind = step.image.empty() ? job.submission.policy.queue.text() : step.image;
    if (task.failures > 0 && !step.longRunning) {
        kind += retrySuffix;
    }
    return kind;
}

void recordOutcome(Engine &engine, Worker &worker, std::string_view kind, bool isFailed,
                   TimePoint startedAt, TimePoint now)
{
    if (!isFailed) {
        worker.provenSince = std::max(worker.provenSince, startedAt);
    }
    auto found = engine.outcomes.find(kind);
    if (found == engine.outcomes.end()) {
        if (engine.outcomes.size() >= maxKinds) {
            forgetOldKinds(engine, now);
        }
        if (engine.outcomes.size() >= maxKinds) {
            return;  // as if nothing were known of the kind
        }
        found = engine.outcomes.try_emplace(std::string(kind)).first;
    }
    found->second.push_back({worker.entry.incarnation, now, isFailed});
    if (found->second.size() > maxOutcomesOfKind) {
        found->second.pop_front();
    }
}

double failureRate(const Engine &engine, std::string_view kind, TimePoint now)
{
    double runs = priorRuns;
    double failures = kind.ends_with(retrySuffix) ? priorRepeatedFailures : priorFailures;
    const auto found = engine.outcomes.find(kind);
    if (found != engine.outcomes.end()) {
        for (const RunOutcome &outcome : found->second) {
            if (outcome.endedAt + outcomeMemory < now
                || (outcome.isFailed && !isProvenSince(engine, outcome))) {
                continue;
            }
            runs += 1;
            failures += outcome.isFailed ? 1 : 0;
        }
    }
    return failures / runs;
}

FailureEvidence weighFailures(Engine &engine, const Worker &worker, TimePoint now)
{
    const FailureStreak &streak = worker.failures;
    std::map<JobId, FailedJob> jobs = streak.jobs;
    std::map<JobId, int> survivors;
    FailureEvidence evidence{.failedJobs = static_cast<int>(streak.jobs.size())};
    for (const auto &[ref, decisivePoll] : worker.attempts) {
        const jobs::Attempt *const attempt = findAttempt(engine, ref);
        if (attempt != nullptr && hasOutlived(streak, *attempt, worker, now)) {
            jobs::Job &job = engine.jobs.at(ref.task.job);
            jobs.try_emplace(ref.task.job, FailedJob{kindOf(job, stepOf(job, ref.task),
                                                            *jobs::findTask(job, ref.task))});
            ++survivors[ref.task.job];
            ++evidence.survivors;
        }
    }
    std::map<std::string_view, double> rates;
    for (const auto &[id, job] : jobs) {
        auto known = rates.find(job.kind);
        if (known == rates.end()) {
            known = rates.emplace(job.kind, failureRate(engine, job.kind, now)).first;
        }
        const double rate = known->second;
        const auto alive = survivors.find(id);
        const int surviving = alive == survivors.end() ? 0 : alive->second;
        const double asOne = job.runs == 0 ? 1 : rate / failureRateOfBadWorker;
        const double asMany = std::pow(rate / failureRateOfBadWorker, job.runs)
                              * std::pow((1 - rate) / (1 - failureRateOfBadWorker), surviving);
        evidence.likelihoodRatio *= std::max(asOne, asMany);
    }
    return evidence;
}

}  // namespace poplarstream::engine
