#include "poplarstream/engine/attempts.hpp"

#include <algorithm>  // for count_if, min
#include <utility>  // for move

#include <fmt/format.h>  // for format

#include "poplarstream/engine/account_use.hpp"  // for countUse, uncountUse
#include "poplarstream/jobs/commands.hpp"  // for dropAttempt
#include "poplarstream/jobs/queries.hpp"  // for findTask, findAttempt, isFinal

namespace poplarstream::engine {

namespace {

// Covers the network delay between sending a command and the start of the lease at the worker.
constexpr Milliseconds leaseSlack{400};
constexpr std::int64_t clockErrorDivisor = 25;  // 4%: both clocks may be off by 2%

void countInMix(TaskMix &mix, const jobs::StepSpec &step, int change)
{
    mix.longRunning += step.longRunning ? change : 0;
    mix.serving += step.target > Milliseconds{0} ? change : 0;
    mix.filling += step.fills ? change : 0;
    if (!step.image.empty() && (step.fills || step.target > Milliseconds{0})) {
        const auto image = mix.images.try_emplace(step.image, 0).first;
        image->second += change;
        if (image->second == 0) {
            mix.images.erase(image);
        }
    }
}

void recordRelease(Engine &engine, const AttemptRef &ref, const WorkerId &worker,
                   ReleaseCause cause, std::string_view details, bool isFromPreviousOwner,
                   TimePoint now)
{
    ++engine.released.at(static_cast<std::size_t>(cause));
    Decision decision{DecisionKind::TaskReleased, ref.task, ref.run, worker, {}, cause,
                      isFromPreviousOwner};
    decision.inputs =
            fmt::format("cause={}{}{} owner={} takeover_ms_ago={}", causeText(cause),
                        details.empty() ? "" : " ", details,
                        isFromPreviousOwner ? "previous" : "self", ageMs(engine.takenOverAt, now));
    engine.decisions.push_back(std::move(decision));
}

}  // namespace

jobs::Job *findJob(Engine &engine, const JobId &id)
{
    const auto found = engine.jobs.find(id);
    return found == engine.jobs.end() ? nullptr : &found->second;
}

Worker *findWorker(Engine &engine, const WorkerIncarnation &incarnation)
{
    const auto found = engine.workers.find(incarnation);
    return found == engine.workers.end() ? nullptr : &found->second;
}

jobs::Attempt *findAttempt(Engine &engine, const AttemptRef &ref)
{
    jobs::Job *const job = findJob(engine, ref.task.job);
    jobs::Task *const task = job == nullptr ? nullptr : jobs::findTask(*job, ref.task);
    return task == nullptr ? nullptr : jobs::findAttempt(*task, ref.run);
}

const jobs::StepSpec &stepOf(const jobs::Job &job, const TaskRef &task)
{
    return job.submission.spec.steps.at(static_cast<std::size_t>(task.step));
}

jobs::Resources capacityUsedBy(const jobs::StepSpec &step)
{
    jobs::Resources used = step.need;
    if (step.fills) {
        used.cpuMilli = 0;
    }
    return used;
}

void recordDecision(Engine &engine, DecisionKind kind, const AttemptRef &ref,
                    const WorkerId &worker, std::string inputs)
{
    engine.decisions.push_back({kind, ref.task, ref.run, worker, std::move(inputs)});
}

void markDirty(Engine &engine, jobs::Job &job)
{
    job.isDirty = true;
    engine.dirty.insert(job);
    engine.waiting.insert(job);
}

void attach(Engine &engine, Worker &worker, const jobs::Job &job, AttemptRef ref,
            std::int64_t decisivePoll)
{
    const jobs::StepSpec &step = stepOf(job, ref.task);
    if (worker.attempts.emplace(std::move(ref), decisivePoll).second) {
        worker.used += capacityUsedBy(step);
        countInMix(worker.mix, step, 1);
        countUse(engine, {job.submission.account, step.need, step.longRunning});
    }
}

void detach(Engine &engine, const AttemptRef &ref, const WorkerIncarnation &incarnation,
            TimePoint now)
{
    Worker *const worker = findWorker(engine, incarnation);
    jobs::Job *const job = findJob(engine, ref.task.job);
    if (worker == nullptr || job == nullptr || worker->attempts.erase(ref) == 0) {
        return;
    }
    const jobs::StepSpec &step = stepOf(*job, ref.task);
    worker->used -= capacityUsedBy(step);
    countInMix(worker->mix, step, -1);
    uncountUse(engine, {job->submission.account, step.need, step.longRunning});
    if (worker->attempts.empty()) {
        worker->idleSince = now;
    }
    engine.needsPlan = true;
}

void release(Engine &engine, const AttemptRef &ref, const WorkerIncarnation &incarnation,
             TimePoint now, ReleaseCause cause, std::string_view details)
{
    detach(engine, ref, incarnation, now);
    const jobs::Attempt *const attempt = findAttempt(engine, ref);
    const bool isFromPreviousOwner = attempt != nullptr && attempt->isFromPreviousOwner;
    if (jobs::Job *const job = findJob(engine, ref.task.job)) {
        if (jobs::dropAttempt(*job, ref.task, ref.run)) {
            recordRelease(engine, ref, incarnation.id, cause, details, isFromPreviousOwner, now);
            markDirty(engine, *job);
        }
    }
    engine.needsPlan = true;
}

void releaseAll(Engine &engine, const WorkerIncarnation &incarnation, TimePoint now,
                ReleaseCause cause)
{
    Worker *const worker = findWorker(engine, incarnation);
    if (worker == nullptr) {
        return;
    }
    const auto attempts = worker->attempts;
    for (const auto &[ref, decisivePoll] : attempts) {
        release(engine, ref, incarnation, now, cause);
    }
    for (const auto &[ref, counted] : worker->unexpectedAttempts) {
        uncountUse(engine, counted);
    }
    worker->unexpectedAttempts.clear();
}

std::size_t adoptedRuns(Engine &engine, const Worker &worker)
{
    return static_cast<std::size_t>(std::count_if(
            worker.attempts.begin(), worker.attempts.end(), [&engine](const auto &entry) {
                const jobs::Attempt *const attempt = findAttempt(engine, entry.first);
                return attempt != nullptr && attempt->isFromPreviousOwner;
            }));
}

void stopAttempt(Engine &engine, const AttemptRef &ref, TimePoint now)
{
    jobs::Attempt *const attempt = findAttempt(engine, ref);
    if (attempt == nullptr || attempt->phase == jobs::AttemptPhase::Stopping) {
        return;
    }
    const WorkerIncarnation incarnation = attempt->worker;
    if (attempt->phase == jobs::AttemptPhase::Planned && !attempt->mayRun) {
        release(engine, ref, incarnation, now, ReleaseCause::StoppedBeforeStart);
        return;
    }
    attempt->phase = jobs::AttemptPhase::Stopping;
    recordDecision(engine, DecisionKind::TaskStopped, ref, incarnation.id,
                   fmt::format("percent={} age_ms={}", attempt->percent,
                               (now - attempt->startedAt).count()));
    const Worker *const worker = findWorker(engine, incarnation);
    if (worker != nullptr && !worker->isGone && !worker->entry.address.empty()) {
        engine.commands.emplace_back(StopCommand{targetOf(engine, *worker), ref.task, ref.run});
    }
}

void stopJob(Engine &engine, const JobId &id, TimePoint now)
{
    jobs::Job *const job = findJob(engine, id);
    if (job == nullptr) {
        return;
    }
    std::vector<AttemptRef> attempts;
    for (const auto &[number, occurrence] : job->occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
                for (const jobs::Attempt &attempt : occurrence.steps[step][index].attempts) {
                    attempts.push_back(
                            {{id, number, static_cast<int>(step), static_cast<int>(index)},
                             attempt.run});
                }
            }
        }
    }
    for (const AttemptRef &ref : attempts) {
        stopAttempt(engine, ref, now);
    }
}

void invalidateSentCommands(Engine &engine, Worker &worker)
{
    worker.tokenBump = ++engine.token.lastBump;
    worker.wantsPromptPoll = true;
    for (auto &[ref, decisivePoll] : worker.attempts) {
        decisivePoll = std::min(decisivePoll, worker.pollNumber + 1);
    }
}

std::int64_t ageMs(TimePoint since, TimePoint now)
{
    return since == TimePoint{} ? -1 : (now - since).count();
}

std::int64_t currentToken(const Engine &engine, const Worker &worker)
{
    return engine.token.epoch * OwnerToken::bumpsPerEpoch + worker.tokenBump;
}

CommandTarget targetOf(const Engine &engine, const Worker &worker)
{
    return {worker.entry.incarnation, worker.entry.address, currentToken(engine, worker)};
}

TimePoint lapseAfter(const Engine &engine, TimePoint sentAt)
{
    return lapseAfter(engine.limits.lease, sentAt);
}

TimePoint lapseAfter(Milliseconds lease, TimePoint sentAt)
{
    return sentAt + lease + lease / clockErrorDivisor + leaseSlack;
}

std::int64_t clockNow(const Worker &worker, TimePoint now)
{
    const std::int64_t elapsed = (now - worker.clockSeenAt).count();
    return worker.clockMs + elapsed - elapsed / clockErrorDivisor;
}

void noteClock(Worker &worker, std::int64_t clockMs, TimePoint now)
{
    if (worker.clockMs == 0 || clockMs > clockNow(worker, now)) {
        worker.clockMs = clockMs;
        worker.clockSeenAt = now;
    }
}

void noteListedClock(Worker &worker, std::int64_t clockMs, TimePoint now)
{
    const std::int64_t elapsed = (now - worker.clockSeenAt).count();
    const std::int64_t latest = worker.clockMs + elapsed + elapsed / clockErrorDivisor;
    if (worker.firstAnsweredAt == TimePoint{} || clockMs <= latest) {
        noteClock(worker, clockMs, now);
    }
}

}  // namespace poplarstream::engine
