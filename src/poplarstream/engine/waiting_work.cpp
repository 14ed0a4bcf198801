#include "poplarstream/engine/waiting_work.hpp"

#include <algorithm>  // for max
#include <optional>  // for optional
#include <unordered_map>  // for unordered_map

#include "poplarstream/engine/account_caps.hpp"  // for ownedCap, longRunningUseOf
#include "poplarstream/jobs/queries.hpp"  // for countDue, isFinal, isStepReady

namespace poplarstream::engine {

namespace {

// Of one account; bounds the time of one call. With more waiting jobs it lacks whole parts of its
// cap anyway.
constexpr std::size_t maxJobsOfAccount = 2'000;

struct AccountWork
{
    std::optional<accounts::OwnedCap> cap;
    jobs::Resources longRunning;  // in use by tasks that last
    accounts::WaitingWork work;
    std::size_t jobsVisited = 0;
};

jobs::Resources times(const jobs::Resources &need, std::int64_t count)
{
    return {need.cpuMilli * count, need.memoryMb * count, need.gpus * count};
}

void addStep(AccountWork &account, const jobs::StepSpec &spec, std::int64_t count)
{
    // Other owners would part with the whole cap for a gang that can't start even then.
    if (spec.gang && account.cap
        && !accounts::canGangFit(*account.cap, account.longRunning, spec.need, spec.count)) {
        return;
    }
    accounts::WaitingWork &work = account.work;
    work.total += times(spec.need, count);
    const jobs::Resources together = spec.gang ? times(spec.need, count) : spec.need;
    for (const auto field : accounts::resourceFields) {
        work.widest.*field = std::max(work.widest.*field, together.*field);
    }
}

void addJob(AccountWork &account, const jobs::Job &job, TimePoint now)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t i = 0; !occurrence.isDone && i < occurrence.steps.size(); ++i) {
            if (occurrence.remaining[i] == 0
                || !jobs::isStepReady(job, occurrence, static_cast<int>(i))) {
                continue;
            }
            if (const int count = jobs::countDue(occurrence.steps[i], now); count > 0) {
                addStep(account, job.submission.spec.steps[i], count);
            }
        }
    }
}

}  // namespace

std::map<AccountId, accounts::WaitingWork> waitingWork(const Engine &engine, TimePoint now)
{
    std::unordered_map<AccountId, AccountWork> found;
    for (const jobs::Job *const job : engine.waiting) {
        const AccountId &account = job->submission.account;
        if (account.isEmpty() || job->isHeld || jobs::isFinal(job->state)) {
            continue;
        }
        const auto [place, isNew] = found.try_emplace(account);
        if (isNew) {
            place->second.cap = ownedCap(engine, account);
            place->second.longRunning = longRunningUseOf(engine, account);
        }
        if (++place->second.jobsVisited <= maxJobsOfAccount) {
            addJob(place->second, *job, now);
        }
    }
    std::map<AccountId, accounts::WaitingWork> waiting;
    for (const auto &[account, entry] : found) {
        waiting[account] = entry.work;
    }
    return waiting;
}

}  // namespace poplarstream::engine
