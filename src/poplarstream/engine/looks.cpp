#include "poplarstream/engine/looks.hpp"

#include <algorithm>  // for max
#include <vector>  // for vector

#include "poplarstream/engine/attempts.hpp"  // for findAttempt, releaseAll, targetOf

namespace poplarstream::engine {

namespace {

// A waiting look renews the leases, so it must end well within the lease.
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
    LookOrder look;
    look.target = targetOf(engine, worker);
    look.number = ++worker.lookNumber;
    look.acknowledged = worker.endsStored;
    const bool hasWork = !worker.attempts.empty() || !worker.strangers.empty();
    if (worker.contact != Contact::Silent && hasWork) {
        look.leaseUntilClockMs = clockNow(worker, now) + engine.limits.lease.count();
        worker.leaseUntil = std::max(worker.leaseUntil, lapseAfter(engine, now));
    }
    const bool endsPending = worker.endsSeen > worker.endsStored;
    if (worker.contact == Contact::Open && hasWork && !endsPending && !worker.wantsPromptLook) {
        look.wait = hasTaskComingToWork(engine, worker) ? watchedWait : longestWait;
    }
    worker.wantsPromptLook = false;
    worker.isLooking = true;
    worker.lookSentAt = now;
    engine.orders.emplace_back(std::move(look));
}

bool wantsLook(const Worker &worker)
{
    if (worker.isGone || worker.isLooking || worker.entry.address.empty()) {
        return false;
    }
    if (worker.contact != Contact::Open) {
        return worker.isListed || !worker.attempts.empty();
    }
    return !worker.attempts.empty() || !worker.strangers.empty()
           || worker.endsSeen > worker.endsStored;
}

}  // namespace

void lookAtWorkers(Engine &engine, TimePoint now)
{
    std::vector<WorkerLife> lapsed;
    std::vector<WorkerLife> forgotten;
    for (auto &[life, worker] : engine.workers) {
        if (wantsLook(worker) && worker.nextLookAt <= now) {
            sendLook(engine, worker, now);
        }
        const bool hasWork = !worker.attempts.empty() || !worker.strangers.empty();
        if (worker.contact != Contact::Open && hasWork && worker.leaseUntil <= now) {
            lapsed.push_back(life);
        } else if (!worker.isListed && !hasWork && !worker.isLooking) {
            forgotten.push_back(life);
        }
    }
    for (const WorkerLife &life : lapsed) {
        note(engine, DecisionKind::LeaseLapsed, {}, life.id, {});
        releaseAll(engine, life, now);
    }
    for (const WorkerLife &life : forgotten) {
        const auto known = engine.lives.find(life.id);
        if (known != engine.lives.end() && known->second == life) {
            engine.lives.erase(known);
        }
        engine.workers.erase(life);
    }
}

}  // namespace poplarstream::engine
