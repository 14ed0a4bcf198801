#include "poplarstream/engine/worker_polling.hpp"

#include <algorithm>  // for max
#include <vector>  // for vector

#include <fmt/format.h>  // for format

#include "poplarstream/engine/attempts.hpp"  // for findAttempt, releaseAll, adoptedRuns
#include "poplarstream/engine/crashes.hpp"  // for rememberLapsed, hasUnprovenSuspect

namespace poplarstream::engine {

namespace {

// A response shows which incarnation of a worker it is. A restart takes longer than this.
constexpr Milliseconds incarnationKnownFor{1000};
// The progress of a starting long-running task is polled this often.
constexpr Milliseconds startingTaskPollWait{250};
// While a suspected task may be about to take its worker down, the worker's responses show in time
// that it does not, should the worker end for another reason.
constexpr Milliseconds suspectPollWait{50};
// Where filling tasks run beside serving ones, the owner follows the figures of half a second.
constexpr Milliseconds sharedPollWait{450};
// A worker that is not back after this time is forgotten; most restart within seconds.
constexpr Milliseconds lapsedRunMemory{60'000};

// Whether a long-running task on this worker isn't ready yet.
bool hasStartingTask(Engine &engine, const Worker &worker)
{
    if (worker.mix.longRunning == 0) {
        return false;
    }
    for (const auto &[ref, decisivePoll] : worker.attempts) {
        const jobs::Attempt *const attempt = findAttempt(engine, ref);
        if (attempt != nullptr && attempt->percent < jobs::readyPercent
            && stepOf(engine.jobs.at(ref.task.job), ref.task).longRunning) {
            return true;
        }
    }
    return false;
}

bool isShared(const Worker &worker)
{
    return worker.mix.serving > 0 && worker.mix.filling > 0;
}

void sendPoll(Engine &engine, Worker &worker, TimePoint now)
{
    PollCommand poll;
    poll.target = targetOf(engine, worker);
    poll.number = ++worker.pollNumber;
    // A worker that has restarted since would forget completions of its next incarnation.
    const bool isIncarnationKnown = worker.answeredAt + incarnationKnownFor >= now;
    poll.acknowledged = isIncarnationKnown ? worker.completionsStored : 0;
    const bool hasWork = !worker.attempts.empty() || !worker.unexpectedAttempts.empty();
    const bool isClockKnown = worker.clockMs != 0;
    if (worker.reachability != Reachability::Unreachable && hasWork && isClockKnown) {
        poll.leaseUntilClockMs = clockNow(worker, now) + engine.limits.lease.count();
        worker.leaseUntil = std::max(worker.leaseUntil, lapseAfter(engine, now));
    }
    const bool hasUnstoredCompletions = worker.completionsSeen > worker.completionsStored;
    if (worker.reachability == Reachability::Reachable && hasWork && !hasUnstoredCompletions
        && !worker.wantsPromptPoll) {
        poll.wait = hasUnprovenSuspect(engine, worker) ? suspectPollWait
                    : hasStartingTask(engine, worker)  ? startingTaskPollWait
                    : isShared(worker)                 ? sharedPollWait
                                                       : maxPollWait;
    }
    worker.wantsPromptPoll = false;
    worker.isPolling = true;
    worker.pollSentAt = now;
    worker.polledAddress = poll.target.address;
    engine.commands.emplace_back(std::move(poll));
}

// Whether a later restart of the worker must still be counted for the runs that it lost.
bool awaitsRestart(const Worker &worker, TimePoint now)
{
    return !worker.isGone && !worker.lapsedRuns.empty()
           && worker.lapsedRuns.back().recordedAt + lapsedRunMemory >= now;
}

bool needsPoll(const Worker &worker)
{
    if (worker.isGone || worker.isPolling || worker.entry.address.empty()) {
        return false;
    }
    if (worker.reachability != Reachability::Reachable) {
        return worker.isListed || !worker.attempts.empty();
    }
    return !worker.attempts.empty() || !worker.unexpectedAttempts.empty()
           || worker.completionsSeen > worker.completionsStored;
}

}  // namespace

void pollWorkers(Engine &engine, TimePoint now)
{
    std::vector<WorkerIncarnation> expired;
    std::vector<WorkerIncarnation> forgotten;
    for (auto &[incarnation, worker] : engine.workers) {
        if (needsPoll(worker) && worker.nextPollAt <= now) {
            sendPoll(engine, worker, now);
        }
        const bool hasWork = !worker.attempts.empty() || !worker.unexpectedAttempts.empty();
        if (worker.reachability != Reachability::Reachable && hasWork && worker.leaseUntil <= now) {
            expired.push_back(incarnation);
        } else if (!worker.isListed && !hasWork && !worker.isPolling
                   && !awaitsRestart(worker, now)) {
            forgotten.push_back(incarnation);
        }
    }
    for (const WorkerIncarnation &incarnation : expired) {
        Worker &worker = engine.workers.at(incarnation);
        recordDecision(engine, DecisionKind::LeaseLapsed, {}, incarnation.id,
                       fmt::format("tasks={} answered_ms_ago={} adopted={}", worker.attempts.size(),
                                   ageMs(worker.answeredAt, now), adoptedRuns(engine, worker)));
        rememberLapsed(engine, worker, now);
        releaseAll(engine, incarnation, now, ReleaseCause::LeaseLapsed);
    }
    for (const WorkerIncarnation &incarnation : forgotten) {
        const auto known = engine.newestIncarnations.find(incarnation.id);
        if (known != engine.newestIncarnations.end() && known->second == incarnation) {
            engine.newestIncarnations.erase(known);
        }
        engine.workers.erase(incarnation);
    }
}

}  // namespace poplarstream::engine
