#include "poplarstream/engine/worker_events.hpp"

#include <algorithm>  // for max, min

#include <fmt/format.h>  // for format

#include "poplarstream/engine/attempts.hpp"  // for attach, detach, release
#include "poplarstream/engine/worker_health.hpp"  // for noteEnd, suspect
#include "poplarstream/jobs/commands.hpp"  // for recordEnd
#include "poplarstream/jobs/queries.hpp"  // for findAttempt, isFinal

namespace poplarstream::engine {

namespace {

using jobs::AttemptPhase;
using jobs::AttemptResult;

// While ends wait for the store, the worker would answer a waiting poll at once.
constexpr Milliseconds lookPauseWithEnds{500};
// A worker that did not answer is asked again after this time.
constexpr Milliseconds silentRetry{100};

std::string_view endText(AttemptResult end)
{
    switch (end) {
    case AttemptResult::Done:
        return "done";
    case AttemptResult::Failed:
        return "failed";
    case AttemptResult::Stopped:
        return "stopped";
    case AttemptResult::Lapsed:
        return "lapsed";
    case AttemptResult::Broken:
        return "broken";
    case AttemptResult::Alone:
        break;
    }
    return "alone";
}

// Everything sent before a poll with a higher token is void unless that poll lists it.
void voidOpenOrders(Engine &engine, Worker &worker)
{
    worker.tokenBump = ++engine.token.lastBump;
    worker.wantsPromptLook = true;
    for (auto &[ref, settledBy] : worker.attempts) {
        settledBy = std::min(settledBy, worker.lookNumber + 1);
    }
}

void takeEnd(Engine &engine, Worker &worker, const CompletionReport &report, TimePoint now)
{
    const AttemptRef ref{report.task, report.run};
    worker.unexpectedAttempts.erase(ref);
    jobs::Job *const job = findJob(engine, report.task.job);
    if (job == nullptr) {
        return;
    }
    noteEnd(engine, worker, report, now);
    detach(engine, ref, worker.entry.incarnation, now);
    job->hasBegun = true;
    const jobs::EndEffect effect =
            jobs::recordEnd(*job, report.task, report.run, report.end, report.checkpoint, now);
    if (!effect.isKnown) {
        return;
    }
    note(engine, DecisionKind::TaskEnded, ref, worker.entry.incarnation.id,
         fmt::format("end={} number={}", endText(report.end), report.number));
    if (effect.jobEnded) {
        note(engine, DecisionKind::JobEnded, ref, worker.entry.incarnation.id,
             fmt::format("state={}",
                         job->state == jobs::JobState::Completed ? "completed" : "failed"));
    }
    markDirty(engine, *job);
    engine.needsPlan = true;
    const bool isDone = report.end == AttemptResult::Done;
    if (effect.jobEnded) {
        stopJob(engine, report.task.job, now);
    } else if (isDone) {
        // A task that is done needs its other copies no more.
        const jobs::Task *const task = jobs::findTask(*job, report.task);
        const std::vector<jobs::Attempt> copies = task->attempts;
        for (const jobs::Attempt &copy : copies) {
            stopAttempt(engine, {report.task, copy.run}, now);
        }
    }
}

void takeRunning(Engine &engine, Worker &worker, const RunningReport &report, TimePoint now)
{
    const AttemptRef ref{report.task, report.run};
    jobs::Attempt *const attempt = findAttempt(engine, ref);
    if (attempt == nullptr || attempt->worker != worker.entry.incarnation) {
        if (worker.unexpectedAttempts.insert(ref).second) {
            engine.commands.emplace_back(
                    StopCommand{targetOf(engine, worker), report.task, report.run});
        }
        return;
    }
    if (attempt->phase == AttemptPhase::Ordered) {
        attempt->phase = AttemptPhase::Running;
    }
    if (attempt->percent != report.percent) {
        attempt->percent = report.percent;
        attempt->progressedAt = now;
    }
    attempt->load = report.load;
    jobs::Job *const job = findJob(engine, report.task.job);
    job->hasBegun = true;
    if (stepOf(*job, report.task).checkpointing && !report.checkpoint.empty()) {
        jobs::findTask(*job, report.task)->checkpoint = report.checkpoint;
    }
}

// Frees attempts that the worker does not have and, by the order of calls, never will.
void settleAbsent(Engine &engine, Worker &worker, std::int64_t lookNumber,
                  const PollResponse &answer, TimePoint now)
{
    std::set<AttemptRef> present;
    for (const RunningReport &report : answer.running) {
        present.insert({report.task, report.run});
    }
    std::vector<AttemptRef> absent;
    for (const auto &[ref, settledBy] : worker.attempts) {
        if (settledBy <= lookNumber && !present.contains(ref)) {
            absent.push_back(ref);
        }
    }
    for (const AttemptRef &ref : absent) {
        release(engine, ref, worker.entry.incarnation, now);
    }
    std::erase_if(worker.unexpectedAttempts,
                  [&](const AttemptRef &ref) { return !present.contains(ref); });
}

// Stops whose effect is still missing are sent again.
void repeatStops(Engine &engine, Worker &worker)
{
    for (const auto &[ref, settledBy] : worker.attempts) {
        const jobs::Attempt *const attempt = findAttempt(engine, ref);
        if (attempt != nullptr && attempt->phase == AttemptPhase::Stopping) {
            engine.commands.emplace_back(StopCommand{targetOf(engine, worker), ref.task, ref.run});
        }
    }
    for (const AttemptRef &ref : worker.unexpectedAttempts) {
        engine.commands.emplace_back(StopCommand{targetOf(engine, worker), ref.task, ref.run});
    }
}

}  // namespace

void registerWorker(Engine &engine, const WorkerEntry &entry, TimePoint now)
{
    const WorkerId &id = entry.incarnation.id;
    const auto known = engine.newestIncarnations.find(id);
    if (known != engine.newestIncarnations.end()
        && known->second.startedUnixMs > entry.incarnation.startedUnixMs) {
        return;  // an entry of an earlier incarnation, read late
    }
    if (known != engine.newestIncarnations.end() && known->second != entry.incarnation) {
        endIncarnation(engine, known->second, now);
    }
    engine.newestIncarnations[id] = entry.incarnation;
    const auto [place, isNew] = engine.workers.try_emplace(entry.incarnation);
    Worker &worker = place->second;
    if (isNew) {
        worker.knownSince = now;
        worker.idleSince = now;
        worker.tokenBump = engine.token.lastBump;
    }
    if (worker.clockMs == 0) {
        worker.clockMs = entry.clockMs;
        worker.clockSeenAt = now;
    }
    const bool changed = !worker.isListed || worker.entry.isDraining != entry.isDraining
                         || worker.entry.service != entry.service;
    worker.entry = entry;
    worker.isListed = true;
    engine.needsPlan = engine.needsPlan || changed;
}

void deregisterWorker(Engine &engine, const WorkerId &id)
{
    const auto known = engine.newestIncarnations.find(id);
    if (known == engine.newestIncarnations.end()) {
        return;
    }
    if (Worker *const worker = findWorker(engine, known->second)) {
        worker->isListed = false;
    }
}

void endIncarnation(Engine &engine, const WorkerIncarnation &incarnation, TimePoint now)
{
    Worker *const worker = findWorker(engine, incarnation);
    if (worker == nullptr || worker->isGone) {
        return;
    }
    worker->isGone = true;
    note(engine, DecisionKind::WorkerEnded, {}, incarnation.id,
         fmt::format("tasks={}", worker->attempts.size()));
    worker->isListed = false;
    releaseAll(engine, incarnation, now);
}

void handleOtherIncarnation(Engine &engine, const WorkerIncarnation &incarnation, TimePoint now)
{
    endIncarnation(engine, incarnation, now);
}

void handlePollResponse(Engine &engine, const WorkerIncarnation &incarnation,
                        std::int64_t lookNumber, const std::optional<PollResponse> &answer,
                        TimePoint now)
{
    Worker *const worker = findWorker(engine, incarnation);
    if (worker == nullptr || worker->isGone || lookNumber != worker->lookNumber) {
        return;
    }
    worker->isLooking = false;
    if (!answer) {
        if (worker->reachability == Reachability::Reachable) {
            note(engine, DecisionKind::WorkerUnresponsive, {}, incarnation.id,
                 fmt::format("tasks={} answered_ms_ago={}", worker->attempts.size(),
                             (now - worker->answeredAt).count()));
        }
        worker->reachability = Reachability::Unreachable;
        worker->nextLookAt = now + silentRetry;
        return;
    }
    if (answer->startedUnixMs != 0 && incarnation.startedUnixMs != 0
        && answer->startedUnixMs != incarnation.startedUnixMs) {
        endIncarnation(engine, incarnation, now);
        return;
    }
    worker->answeredAt = now;
    if (worker->openedAt == TimePoint{}) {
        worker->openedAt = now;
    }
    worker->clockMs = answer->clockMs;
    worker->clockSeenAt = now;
    for (const CompletionReport &report : answer->completed) {
        if (report.number > worker->completionsSeen) {
            takeEnd(engine, *worker, report, now);
            worker->completionsSeen = report.number;
        }
    }
    for (const RunningReport &report : answer->running) {
        takeRunning(engine, *worker, report, now);
    }
    if (!answer->isPartial) {
        settleAbsent(engine, *worker, lookNumber, *answer, now);
    }
    if (worker->reachability != Reachability::Reachable) {
        note(engine, DecisionKind::WorkerRecovered, {}, incarnation.id,
             fmt::format("tasks={}", worker->attempts.size()));
        worker->reachability = Reachability::Reachable;
        engine.needsPlan = true;
        repeatStops(engine, *worker);
    }
    const bool endsPending = worker->completionsSeen > worker->completionsStored;
    worker->nextLookAt = endsPending ? now + lookPauseWithEnds : now;
}

void handleStartResult(Engine &engine, const AttemptRef &ref, const WorkerIncarnation &incarnation,
                       StartResult result, std::int64_t clockMs, TimePoint now)
{
    Worker *const worker = findWorker(engine, incarnation);
    if (worker == nullptr || worker->isGone) {
        return;
    }
    const auto place = worker->attempts.find(ref);
    if (place == worker->attempts.end()) {
        return;
    }
    if (clockMs != 0) {
        worker->clockMs = clockMs;
        worker->clockSeenAt = now;
    }
    jobs::Attempt *const attempt = findAttempt(engine, ref);
    switch (result) {
    case StartResult::Started:
        place->second = std::min(place->second, worker->lookNumber + 1);
        if (attempt != nullptr && attempt->phase == AttemptPhase::Ordered) {
            attempt->phase = AttemptPhase::Running;
            engine.jobs.at(ref.task.job).hasBegun = true;
        }
        return;
    case StartResult::Unknown:
        voidOpenOrders(engine, *worker);
        worker->reachability = Reachability::Unreachable;
        worker->nextLookAt = now;
        return;
    case StartResult::Unhealthy:
        suspect(engine, *worker, now);
        break;
    case StartResult::Fenced:
    case StartResult::Stale:
    case StartResult::Late:
    case StartResult::NoCapacity:
    case StartResult::NoTicket:
    case StartResult::Refused:
        break;
    }
    release(engine, ref, incarnation, now);
}

void handleStopResult(Engine &engine, const AttemptRef &ref, const WorkerIncarnation &incarnation,
                      StopResult result, TimePoint now)
{
    Worker *const worker = findWorker(engine, incarnation);
    if (worker == nullptr || worker->isGone) {
        return;
    }
    if (result == StopResult::OtherIncarnation) {
        endIncarnation(engine, incarnation, now);
        return;
    }
    if (result != StopResult::Accepted) {
        worker->reachability = Reachability::Unreachable;
        worker->wantsPromptLook = true;
        worker->nextLookAt = now;
        return;
    }
    const auto place = worker->attempts.find(ref);
    if (place != worker->attempts.end()) {
        place->second = std::min(place->second, worker->lookNumber + 1);
    }
}

}  // namespace poplarstream::engine
