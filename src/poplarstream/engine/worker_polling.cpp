#include "poplarstream/engine/worker_polling.hpp"

#include <algorithm>  // for max
#include <vector>  // for vector

#include "poplarstream/engine/attempts.hpp"  // for findAttempt, releaseAll, targetOf

namespace poplarstream::engine {

namespace {

// A waiting poll renews the leases, so it must end well within the lease.
constexpr Milliseconds longestWait{1500};
// While a long-running task comes to work, its progress is asked for this often.
constexpr Milliseconds watchedWait{250};
constexpr int wholePercent = 100;

// Whether a long-running task there is not known to be at work yet.
bool hasTaskComingToWork(Engine &engine, const Worker &worker)
{
    for (const auto &[ref, settledBy] : worker.attempts) {
        const jobs::Attempt *const attempt = findAttempt(engine, ref);
        if (attempt != nullptr && attempt->percent < wholePercent
            && stepOf(engine.jobs.at(ref.task.job), ref.task).longRunning) {
            return true;
        }
    }
    return false;
}

void sendLook(Engine &engine, Worker &worker, TimePoint now)
{
    PollCommand poll;
    poll.target = targetOf(engine, worker);
    poll.number = ++worker.lookNumber;
    poll.acknowledged = worker.completionsStored;
    const bool hasWork = !worker.attempts.empty() || !worker.unexpectedAttempts.empty();
    if (worker.reachability != Reachability::Unreachable && hasWork) {
        poll.leaseUntilClockMs = clockNow(worker, now) + engine.limits.lease.count();
        worker.leaseUntil = std::max(worker.leaseUntil, lapseAfter(engine, now));
    }
    const bool endsPending = worker.completionsSeen > worker.completionsStored;
    if (worker.reachability == Reachability::Reachable && hasWork && !endsPending
        && !worker.wantsPromptLook) {
        poll.wait = hasTaskComingToWork(engine, worker) ? watchedWait : longestWait;
    }
    worker.wantsPromptLook = false;
    worker.isLooking = true;
    worker.lookSentAt = now;
    engine.commands.emplace_back(std::move(poll));
}

bool wantsLook(const Worker &worker)
{
    if (worker.isGone || worker.isLooking || worker.entry.address.empty()) {
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
    std::vector<WorkerIncarnation> lapsed;
    std::vector<WorkerIncarnation> forgotten;
    for (auto &[incarnation, worker] : engine.workers) {
        if (wantsLook(worker) && worker.nextLookAt <= now) {
            sendLook(engine, worker, now);
        }
        const bool hasWork = !worker.attempts.empty() || !worker.unexpectedAttempts.empty();
        if (worker.reachability != Reachability::Reachable && hasWork && worker.leaseUntil <= now) {
            lapsed.push_back(incarnation);
        } else if (!worker.isListed && !hasWork && !worker.isLooking) {
            forgotten.push_back(incarnation);
        }
    }
    for (const WorkerIncarnation &incarnation : lapsed) {
        note(engine, DecisionKind::LeaseLapsed, {}, incarnation.id, {});
        releaseAll(engine, incarnation, now);
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
