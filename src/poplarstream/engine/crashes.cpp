#include "poplarstream/engine/crashes.hpp"

#include <algorithm>  // for any_of, max, min
#include <cmath>  // for log

#include <fmt/format.h>  // for format

#include "poplarstream/engine/attempts.hpp"  // for findJob, findAttempt, markDirty, stopJob
#include "poplarstream/jobs/commands.hpp"  // for recordCrash, rememberLapsed
#include "poplarstream/jobs/queries.hpp"  // for findTask, findAttempt, isFinal

namespace poplarstream::engine {

namespace {

// A task that takes its worker down does so within some 10 ms of its start, or some 100 ms on a
// slow worker. A run that its worker has survived for this long, by the worker's own clock, did not
// cause a crash.
constexpr Milliseconds provenAfter{150};

// The owner sees the poll break off within 50 ms. A worker that stops responding later than this
// after a confirmed start ended for another reason, even if nothing was heard of it in between.
constexpr Milliseconds silenceWindow{500};

// The likelihood that a run of a given age causes a crash falls with 1 / (age + this).
constexpr Milliseconds ageScale{20};

// The likelihood, in thousandths, that a task takes workers down before any did.
constexpr int priorSuspicion = 20;

// A rack has gone dark if this many of its workers fall silent within `commonCauseWindow`. Their
// polls are answered at least every 1.5 s.
constexpr std::size_t workersOfDarkRack = 3;
constexpr Milliseconds commonCauseWindow{2000};
constexpr Milliseconds silenceMemory{30'000};

// How long the worker has demonstrably survived the run, by its own clock: until its last response
// of any kind.
Milliseconds survived(const jobs::Attempt &attempt, const Worker &worker)
{
    return attempt.confirmedAt == TimePoint{}
                   ? Milliseconds{0}
                   : Milliseconds{
                           std::max<std::int64_t>(worker.clockMs - attempt.confirmedClockMs, 0)};
}

// How long after the start the worker stopped responding, by this owner's clock.
Milliseconds silentAfter(const ExposedRun &run, const Worker &worker, TimePoint now)
{
    const TimePoint silentAt = worker.silentSince == TimePoint{} ? now : worker.silentSince;
    return silentAt - run.reachedAt;
}

ExposedRun exposedRun(const AttemptRef &ref, const jobs::Attempt &attempt, const Worker &worker,
                      TimePoint now)
{
    ExposedRun run;
    run.ref = ref;
    run.sentAt = attempt.startedAt;
    run.confirmedAt = attempt.confirmedAt;
    run.aliveAt = attempt.aliveAt;
    run.percent = attempt.percent;
    run.aliveFor = survived(attempt, worker);
    // A connection that ends with the start on it had a living worker at its other end until then.
    // A start without a response in time may have been sent to one that was gone already.
    run.reachedAt = attempt.confirmedAt != TimePoint{} ? attempt.confirmedAt : attempt.brokenOffAt;
    run.recordedAt = now;
    return run;
}

// The runs that were or may have been on the worker, except those that have run too long to be the
// cause.
std::vector<ExposedRun> suspectedRuns(Engine &engine, const Worker &worker, TimePoint now)
{
    std::vector<ExposedRun> runs = worker.lapsedRuns;
    for (const auto &[ref, decisivePoll] : worker.attempts) {
        const jobs::Attempt *const attempt = findAttempt(engine, ref);
        if (attempt != nullptr && attempt->mayRun) {
            runs.push_back(exposedRun(ref, *attempt, worker, now));
        }
    }
    return runs;
}

// Whether several workers of the rack fell silent together with this one.
bool hasCommonCause(const Engine &engine, const Worker &worker, TimePoint now)
{
    if (worker.entry.rack.isEmpty()) {
        return false;
    }
    const TimePoint silentAt = worker.silentSince == TimePoint{} ? now : worker.silentSince;
    std::set<WorkerId> together{worker.entry.incarnation.id};
    for (const RackSilence &silence : engine.silences) {
        if (silence.rack == worker.entry.rack && silence.at + commonCauseWindow >= silentAt
            && silence.at <= silentAt + commonCauseWindow) {
            together.insert(silence.worker);
        }
    }
    return together.size() >= workersOfDarkRack;
}

// The part of its former suspicion that a task keeps after a worker has survived a run of it for a
// while: the likelihood, by the same law, that it would cause a crash later than that.
double keptSuspicion(Milliseconds survivedFor)
{
    const auto scaled = [](Milliseconds age) {
        return static_cast<double>((std::min(age, provenAfter) + ageScale).count());
    };
    return std::log(scaled(provenAfter) / scaled(survivedFor))
           / std::log(scaled(provenAfter) / scaled(Milliseconds{0}));
}

}  // namespace

bool isSuspect(const jobs::Task &task)
{
    return task.suspicion > priorSuspicion;
}

bool hasUnprovenSuspect(Engine &engine, const Worker &worker)
{
    if (engine.suspects.empty()) {
        return false;
    }
    return std::any_of(worker.attempts.begin(), worker.attempts.end(), [&](const auto &entry) {
        const AttemptRef &ref = entry.first;
        const jobs::Attempt *const attempt = findAttempt(engine, ref);
        return engine.suspects.contains(ref.task) && attempt != nullptr
               && attempt->confirmedAt != TimePoint{} && survived(*attempt, worker) < provenAfter;
    });
}

void recordCrash(Engine &engine, const Worker &worker, TimePoint now)
{
    struct Candidate
    {
        ExposedRun run;
        jobs::Job *job = nullptr;
        jobs::Task *task = nullptr;
        double weight = 0;
    };
    std::vector<Candidate> candidates;
    std::map<JobId, double> weights;  // the runs of a job stand or fall together
    double total = 0;
    const std::vector<ExposedRun> runs = suspectedRuns(engine, worker, now);
    for (const ExposedRun &run : runs) {
        jobs::Job *const job = findJob(engine, run.ref.task.job);
        jobs::Task *const task = job == nullptr ? nullptr : jobs::findTask(*job, run.ref.task);
        if (task == nullptr) {
            continue;
        }
        ++engine.tasksLost;
        Candidate candidate{run, job, task, 0};
        task->suspicion = static_cast<int>(task->suspicion * keptSuspicion(run.aliveFor));
        if (run.aliveFor < provenAfter) {
            candidate.weight = static_cast<double>(std::max(task->suspicion, priorSuspicion))
                               / static_cast<double>((run.aliveFor + ageScale).count());
        }
        total += candidate.weight;
        weights[run.ref.task.job] += candidate.weight;
        candidates.push_back(std::move(candidate));
    }
    const bool isShared = hasCommonCause(engine, worker, now);
    for (const Candidate &candidate : candidates) {
        const ExposedRun &run = candidate.run;
        const JobId &id = run.ref.task.job;
        const int suspicion =
                candidate.weight > 0 ? static_cast<int>(1000 * candidate.weight / total) : 0;
        // A crash whose cause is more likely the rack's than a task's counts, but ends no job that
        // has not had its last crash.
        const int jobSuspicion =
                isShared || total <= 0 ? suspicion : static_cast<int>(1000 * weights[id] / total);
        const bool mayHaveCaused =
                run.reachedAt != TimePoint{} && silentAfter(run, worker, now) <= silenceWindow;
        const jobs::CrashEffect effect =
                candidate.weight > 0 ? jobs::recordCrash(*candidate.job, run.ref.task,
                                                         {suspicion, isShared ? 0 : jobSuspicion,
                                                          mayHaveCaused, worker.entry.incarnation},
                                                         now)
                                     : jobs::CrashEffect::None;
        recordDecision(engine, DecisionKind::TaskLost, run.ref, worker.entry.incarnation.id,
                       fmt::format("crashes={} suspicion={} others={} shared={} survived_ms={} "
                                   "silent_after_ms={} sent_ms_ago={} confirmed_ms_ago={} "
                                   "alive_ms_ago={} percent={}",
                                   candidate.task->crashes, suspicion, candidates.size() - 1,
                                   isShared, run.aliveFor.count(),
                                   run.reachedAt != TimePoint{}
                                           ? silentAfter(run, worker, now).count()
                                           : -1,
                                   ageMs(run.sentAt, now), ageMs(run.confirmedAt, now),
                                   ageMs(run.aliveAt, now), run.percent));
        if (candidate.weight > 0) {
            markDirty(engine, *candidate.job);
        }
        if (isSuspect(*candidate.task)) {
            engine.suspects.insert(run.ref.task);
        }
        if (effect == jobs::CrashEffect::TaskGivenUp) {
            recordDecision(engine, DecisionKind::TaskGivenUp, run.ref, worker.entry.incarnation.id,
                           fmt::format("crashes={}", candidate.task->crashes));
        } else if (effect == jobs::CrashEffect::JobEnded) {
            recordDecision(engine, DecisionKind::JobEnded, run.ref, worker.entry.incarnation.id,
                           fmt::format("state=failed crashes={}", candidate.task->crashes));
            stopJob(engine, id, now);
        }
    }
}

void rememberLapsed(Engine &engine, Worker &worker, TimePoint now)
{
    for (const auto &[ref, decisivePoll] : worker.attempts) {
        const jobs::Attempt *const attempt = findAttempt(engine, ref);
        if (attempt != nullptr && attempt->mayRun) {
            jobs::Job &job = engine.jobs.at(ref.task.job);
            jobs::rememberLapsed(job, ref.task, ref.run);
            markDirty(engine, job);
        }
    }
    for (const ExposedRun &run : suspectedRuns(engine, worker, now)) {
        const bool isKnown =
                std::any_of(worker.lapsedRuns.begin(), worker.lapsedRuns.end(),
                            [&run](const ExposedRun &known) { return known.ref == run.ref; });
        if (!isKnown) {
            worker.lapsedRuns.push_back(run);
        }
    }
}

void clearIfProven(Engine &engine, jobs::Job &job, const TaskRef &ref, const jobs::Attempt &attempt,
                   const Worker &worker)
{
    jobs::Task *const task = jobs::findTask(job, ref);
    if (task == nullptr || task->suspicion == 0 || survived(attempt, worker) < provenAfter) {
        return;
    }
    task->suspicion = 0;
    task->crashes = 0;
    engine.suspects.erase(ref);
    markDirty(engine, job);
}

void recordSilence(Engine &engine, Worker &worker, TimePoint now)
{
    worker.silentSince = now;
    while (!engine.silences.empty() && engine.silences.front().at + silenceMemory < now) {
        engine.silences.pop_front();
    }
    engine.silences.push_back({worker.entry.incarnation.id, worker.entry.rack, now});
}

}  // namespace poplarstream::engine
