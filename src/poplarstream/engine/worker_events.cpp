#include "poplarstream/engine/worker_events.hpp"

#include <algorithm>  // for any_of, max, min
#include <utility>  // for exchange
#include <variant>  // for get_if

#include <fmt/format.h>  // for format

#include "poplarstream/engine/account_use.hpp"  // for addUnexpected, forgetUnexpected, uncountUse
#include "poplarstream/engine/attempts.hpp"  // for attach, detach, release
#include "poplarstream/engine/crashes.hpp"  // for recordCrash, recordSilence, clearIfProven
#include "poplarstream/engine/filler_pace.hpp"  // for paceFillers
#include "poplarstream/engine/incarnations.hpp"  // for endIncarnation, restartWorker
#include "poplarstream/engine/neighbours.hpp"  // for observeNeighbours
#include "poplarstream/engine/run_outcomes.hpp"  // for recordOutcome, kindOf
#include "poplarstream/engine/separation.hpp"  // for noteTargets
#include "poplarstream/engine/worker_health.hpp"  // for updateWorkerHealth, reviewFailures
#include "poplarstream/jobs/commands.hpp"  // for recordCompletion
#include "poplarstream/jobs/queries.hpp"  // for findTask, findAttempt

namespace poplarstream::engine {

namespace {

using jobs::AttemptPhase;
using jobs::AttemptResult;

// Until completions are stored and acknowledged, the worker responds to each poll at once. This
// limits the rate of polls meanwhile.
constexpr Milliseconds pollPauseWhileStoring{500};
// Interval of polls to a worker that doesn't respond.
constexpr Milliseconds unreachableRetryDelay{100};

std::string_view resultText(AttemptResult result)
{
    switch (result) {
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

std::string_view resultText(StartResult result)
{
    switch (result) {
    case StartResult::Started:
        return "started";
    case StartResult::Fenced:
        return "fenced";
    case StartResult::Stale:
        return "stale";
    case StartResult::Late:
        return "late";
    case StartResult::NoCapacity:
        return "no-capacity";
    case StartResult::NoTicket:
        return "no-ticket";
    case StartResult::Unhealthy:
        return "unhealthy";
    case StartResult::Refused:
        return "refused";
    case StartResult::ConnectionLost:
        return "connection-lost";
    case StartResult::Unknown:
        break;
    }
    return "unknown";
}

// `clockMs` is the worker's clock in the response that confirms the run. The last reading may be
// older, if the response was delayed.
void confirm(jobs::Attempt &attempt, const Worker &worker, std::int64_t clockMs, TimePoint now)
{
    if (attempt.confirmedAt == TimePoint{}) {
        attempt.confirmedAt = now;
        attempt.confirmedClockMs = std::max(worker.clockMs, clockMs);
    }
}

// Stops the runs that a success makes needless: other copies of the task, or, in a gang, of any
// member.
void stopOtherRuns(Engine &engine, const jobs::Job &job, const CompletionReport &report,
                   TimePoint now)
{
    const TaskRef &done = report.task;
    const auto &tasks =
            job.occurrences.at(done.occurrence).steps[static_cast<std::size_t>(done.step)];
    const bool isGang = stepOf(job, done).gang;
    const int first = isGang ? 0 : done.index;
    const int end = isGang ? static_cast<int>(tasks.size()) : done.index + 1;
    std::vector<AttemptRef> needless;
    for (int index = first; index < end; ++index) {
        for (const jobs::Attempt &attempt : tasks[static_cast<std::size_t>(index)].attempts) {
            if (attempt.run != report.run) {
                TaskRef task = done;
                task.index = index;
                needless.push_back({std::move(task), attempt.run});
            }
        }
    }
    for (const AttemptRef &ref : needless) {
        stopAttempt(engine, ref, now);
    }
}

void handleCompletion(Engine &engine, Worker &worker, const CompletionReport &report, TimePoint now)
{
    const AttemptRef ref{report.task, report.run};
    forgetUnexpected(engine, worker, ref);
    jobs::Job *const job = findJob(engine, report.task.job);
    if (job == nullptr) {
        return;
    }
    updateWorkerHealth(engine, worker, report, now);
    detach(engine, ref, worker.entry.incarnation, now);
    job->hasBegun = true;
    const jobs::CompletionEffect effect = jobs::recordCompletion(
            *job, report.task, report.run, report.result, report.checkpoint, now);
    if (!effect.isKnown) {
        return;
    }
    recordDecision(engine, DecisionKind::TaskEnded, ref, worker.entry.incarnation.id, [&] {
        return fmt::format("end={} number={}", resultText(report.result), report.number);
    });
    if (effect.jobEnded) {
        recordDecision(engine, DecisionKind::JobEnded, ref, worker.entry.incarnation.id,
                       fmt::format("state={}", job->state == jobs::JobState::Completed ? "completed"
                                                                                       : "failed"));
    }
    markDirty(engine, *job);
    engine.needsPlan = true;
    const bool isDone = report.result == AttemptResult::Done;
    if (effect.jobEnded) {
        stopJob(engine, report.task.job, now);
    } else if (isDone) {
        stopOtherRuns(engine, *job, report, now);
    }
}

void handleRunning(Engine &engine, Worker &worker, const RunningReport &report,
                   std::int64_t clockMs, TimePoint now)
{
    const AttemptRef ref{report.task, report.run};
    jobs::Attempt *const attempt = findAttempt(engine, ref);
    if (attempt == nullptr || attempt->worker != worker.entry.incarnation) {
        if (addUnexpected(engine, worker, ref)) {
            engine.commands.emplace_back(
                    StopCommand{targetOf(engine, worker), report.task, report.run});
        }
        return;
    }
    if (attempt->phase == AttemptPhase::StartSent) {
        attempt->phase = AttemptPhase::Running;
    }
    confirm(*attempt, worker, clockMs, now);
    attempt->aliveAt = worker.pollSentAt;
    jobs::Job *const job = findJob(engine, report.task.job);
    if (attempt->percent != report.percent) {
        const bool serves =
                report.percent >= jobs::readyPercent && stepOf(*job, report.task).longRunning;
        if (serves && attempt->percent < jobs::readyPercent) {
            const std::string kind =
                    kindOf(*job, stepOf(*job, report.task), *jobs::findTask(*job, report.task));
            recordOutcome(engine, worker, kind, false, attempt->startedAt, now);
            recordWorkerSuccess(engine, worker, attempt->startedAt, now);
        }
        attempt->percent = report.percent;
        attempt->progressedAt = now;
    }
    attempt->load = report.load;
    job->hasBegun = true;
    clearIfProven(engine, *job, report.task, *attempt, worker);
    if (stepOf(*job, report.task).checkpointing && !report.checkpoint.empty()) {
        jobs::findTask(*job, report.task)->checkpoint = report.checkpoint;
    }
}

// Releases attempts that the worker isn't running and that, since this is their decisive poll or a
// later one, can't start any more.
void releaseMissing(Engine &engine, Worker &worker, std::int64_t pollNumber,
                    const PollResponse &response, TimePoint now)
{
    const auto isPresent = [&response](const AttemptRef &ref) {
        return std::any_of(response.running.begin(), response.running.end(),
                           [&ref](const RunningReport &report) {
                               return report.run == ref.run && report.task == ref.task;
                           });
    };
    std::vector<std::pair<AttemptRef, std::int64_t>> absent;
    for (const auto &[ref, decisivePoll] : worker.attempts) {
        if (decisivePoll <= pollNumber && !isPresent(ref)) {
            absent.emplace_back(ref, decisivePoll);
        }
    }
    for (const auto &[ref, decisivePoll] : absent) {
        release(engine, ref, worker.entry.incarnation, now, ReleaseCause::NotListed,
                fmt::format("poll={} decisive={} sent_ms_ago={} token={}", pollNumber, decisivePoll,
                            (now - worker.pollSentAt).count(), currentToken(engine, worker)));
    }
    std::erase_if(worker.unexpectedAttempts, [&](const auto &entry) {
        const auto &[ref, counted] = entry;
        if (isPresent(ref)) {
            return false;
        }
        uncountUse(engine, counted);
        return true;
    });
}

// Resends the stop commands that haven't taken effect yet.
void resendStops(Engine &engine, Worker &worker)
{
    for (const auto &[ref, decisivePoll] : worker.attempts) {
        const jobs::Attempt *const attempt = findAttempt(engine, ref);
        if (attempt != nullptr && attempt->phase == AttemptPhase::Stopping) {
            engine.commands.emplace_back(StopCommand{targetOf(engine, worker), ref.task, ref.run});
        }
    }
    for (const auto &[ref, counted] : worker.unexpectedAttempts) {
        engine.commands.emplace_back(StopCommand{targetOf(engine, worker), ref.task, ref.run});
    }
}

// Handles the response of another incarnation than the target. It is about the address: the worker
// may live at another one, unless it has responded there itself.
void handleOtherIncarnation(Engine &engine, const CommandTarget &target, TimePoint now)
{
    const Worker *const worker = findWorker(engine, target.worker);
    if (worker == nullptr) {
        return;
    }
    const bool hasWork = !worker->attempts.empty() || !worker->unexpectedAttempts.empty();
    if (!hasWork || worker->answeredAddress == target.address) {
        endIncarnation(engine, target.worker, EndEvidence::RejectedCommand, now);
    }
}

}  // namespace

void handleMisdirectedPoll(Engine &engine, const PollCommand &poll, TimePoint now)
{
    handleOtherIncarnation(engine, poll.target, now);
    handlePollResponse(engine, poll.target.worker, poll.number, {}, now);
}

void handlePollResponse(Engine &engine, const WorkerIncarnation &incarnation,
                        std::int64_t pollNumber, const std::optional<PollResponse> &response,
                        TimePoint now)
{
    Worker *const worker = findWorker(engine, incarnation);
    if (worker == nullptr || pollNumber != worker->pollNumber) {
        return;
    }
    worker->isPolling = false;
    if (worker->isGone) {
        return;
    }
    if (!response) {
        if (worker->reachability == Reachability::Reachable) {
            recordDecision(engine, DecisionKind::WorkerUnresponsive, {}, incarnation.id,
                           fmt::format("tasks={} answered_ms_ago={}", worker->attempts.size(),
                                       (now - worker->answeredAt).count()));
            recordSilence(engine, *worker, now);
        }
        worker->reachability = Reachability::Unreachable;
        worker->nextPollAt = now + unreachableRetryDelay;
        return;
    }
    if (response->startedUnixMs != 0 && incarnation.startedUnixMs != 0
        && response->startedUnixMs != incarnation.startedUnixMs) {
        const WorkerIncarnation next{incarnation.id, response->startedUnixMs};
        restartWorker(engine, incarnation, next, EndEvidence::PollResponse, now);
        noteClock(engine.workers.at(next), response->clockMs, now);
        return;
    }
    worker->answeredAt = now;
    worker->answeredAddress = worker->polledAddress;
    worker->lapsedRuns.clear();
    if (worker->firstAnsweredAt == TimePoint{}) {
        worker->firstAnsweredAt = now;
        worker->clockMs = 0;  // a reading from the registry may be wrong
    }
    noteClock(*worker, response->clockMs, now);
    for (const CompletionReport &report : response->completed) {
        if (report.number > worker->completionsSeen) {
            handleCompletion(engine, *worker, report, now);
            worker->completionsSeen = report.number;
        }
    }
    for (const RunningReport &report : response->running) {
        handleRunning(engine, *worker, report, response->clockMs, now);
    }
    reviewFailures(engine, *worker, now);
    observeNeighbours(engine, *worker, now);
    paceFillers(engine, *worker, now);
    noteTargets(engine, *worker, now);
    if (!response->isPartial) {
        releaseMissing(engine, *worker, pollNumber, *response, now);
    }
    if (worker->reachability != Reachability::Reachable) {
        recordDecision(engine, DecisionKind::WorkerRecovered, {}, incarnation.id,
                       fmt::format("tasks={}", worker->attempts.size()));
        worker->reachability = Reachability::Reachable;
        worker->silentSince = {};
        engine.needsPlan = true;
        resendStops(engine, *worker);
    }
    const bool hasUnstoredCompletions = worker->completionsSeen > worker->completionsStored;
    worker->nextPollAt = hasUnstoredCompletions ? now + pollPauseWhileStoring : now;
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
        noteClock(*worker, clockMs, now);
    }
    jobs::Attempt *const attempt = findAttempt(engine, ref);
    switch (result) {
    case StartResult::Started:
        place->second = std::min(place->second, worker->pollNumber + 1);
        if (attempt != nullptr && attempt->phase == AttemptPhase::StartSent) {
            attempt->phase = AttemptPhase::Running;
            confirm(*attempt, *worker, clockMs, now);
            engine.jobs.at(ref.task.job).hasBegun = true;
        }
        return;
    case StartResult::ConnectionLost:
        if (attempt != nullptr) {
            attempt->brokenOffAt = now;
        }
        [[fallthrough]];
    case StartResult::Unknown:
        recordDecision(engine, DecisionKind::StartUnanswered, ref, incarnation.id,
                       fmt::format("result={} sent_ms_ago={} token={} last_poll={}",
                                   resultText(result),
                                   attempt == nullptr ? 0 : (now - attempt->startedAt).count(),
                                   currentToken(engine, *worker), worker->pollNumber));
        invalidateSentCommands(engine, *worker);
        if (worker->reachability == Reachability::Reachable) {
            recordSilence(engine, *worker, now);
        }
        worker->reachability = Reachability::Unreachable;
        worker->nextPollAt = now;
        return;
    case StartResult::Unhealthy:
        if (attempt == nullptr || !isEvidence(*worker, attempt->startedAt)) {
            break;
        }
        quarantine(engine, *worker, QuarantineCause::RefusedStart, ref, attempt->startedAt, now);
        break;
    case StartResult::Fenced:
    case StartResult::Stale:
    case StartResult::Late:
    case StartResult::NoCapacity:
    case StartResult::NoTicket:
    case StartResult::Refused:
        break;
    }
    release(engine, ref, incarnation, now, ReleaseCause::StartRejected,
            fmt::format("result={}", resultText(result)));
}

void handleStopResult(Engine &engine, const StopCommand &stop, StopResult result, TimePoint now)
{
    Worker *const worker = findWorker(engine, stop.target.worker);
    if (worker == nullptr || worker->isGone) {
        return;
    }
    if (result == StopResult::OtherIncarnation) {
        handleOtherIncarnation(engine, stop.target, now);
    }
    if (worker->isGone) {
        return;
    }
    if (result != StopResult::Accepted) {
        if (worker->reachability == Reachability::Reachable) {
            recordSilence(engine, *worker, now);
        }
        worker->reachability = Reachability::Unreachable;
        worker->wantsPromptPoll = true;
        worker->nextPollAt = now;
        return;
    }
    const auto place = worker->attempts.find(AttemptRef{stop.task, stop.run});
    if (place != worker->attempts.end()) {
        place->second = std::min(place->second, worker->pollNumber + 1);
    }
}

void dropCommands(Engine &engine, TimePoint now)
{
    for (const Command &command : std::exchange(engine.commands, {})) {
        if (const auto *const poll = std::get_if<PollCommand>(&command)) {
            handlePollResponse(engine, poll->target.worker, poll->number, {}, now);
        } else if (const auto *const start = std::get_if<StartCommand>(&command)) {
            handleStartResult(engine, {start->task, start->run}, start->target.worker,
                              StartResult::Unknown, 0, now);
        } else if (const auto *const stop = std::get_if<StopCommand>(&command)) {
            handleStopResult(engine, *stop, StopResult::Unknown, now);
        }
    }
}

}  // namespace poplarstream::engine
