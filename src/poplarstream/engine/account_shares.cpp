#include "poplarstream/engine/account_shares.hpp"

#include <iterator>  // for next
#include <map>  // for map
#include <unordered_map>  // for unordered_map

#include "poplarstream/engine/attempts.hpp"  // for findJob, stepOf, capacityUsedBy

namespace poplarstream::engine {

namespace {

// All runs are visited this often.
constexpr Milliseconds sampleInterval{500};

// Below this, an account without runs no longer counts for the shares of a pool; millicores.
constexpr double negligibleUse = 1;

using RunningMilli = std::map<ServiceId, std::unordered_map<AccountId, std::int64_t>>;

RunningMilli runningNow(Engine &engine)
{
    RunningMilli running;
    for (const auto &[incarnation, worker] : engine.workers) {
        auto &own = running[worker.entry.service];
        for (const auto &[ref, decisivePoll] : worker.attempts) {
            const jobs::Job *const job = findJob(engine, ref.task.job);
            if (job != nullptr && !job->submission.account.isEmpty()) {
                own[job->submission.account] += capacityUsedBy(stepOf(*job, ref.task)).cpuMilli;
            }
        }
    }
    return running;
}

// The claim of an account; null if the account is not configured.
accounts::PoolClaim *claimOf(Engine &engine, std::map<AccountId, accounts::PoolClaim> &claims,
                             const AccountId &account)
{
    const auto known = claims.find(account);
    if (known != claims.end()) {
        return &known->second;
    }
    const auto configured = engine.accounts.find(account);
    if (configured == engine.accounts.end()) {
        return nullptr;
    }
    accounts::PoolClaim &claim = claims[account];
    claim.weight = configured->second.weight;
    return &claim;
}

void sampleUse(Engine &engine, TimePoint now)
{
    AccountShares &shares = engine.shares;
    if (now < shares.sampledAt + sampleInterval) {
        return;
    }
    const Milliseconds elapsed = now - shares.sampledAt;
    shares.sampledAt = now;
    RunningMilli running = runningNow(engine);
    for (const auto &[service, accounts] : running) {
        auto &claims = shares.pools[service];
        for (const auto &[account, milli] : accounts) {
            claimOf(engine, claims, account);
        }
    }
    for (auto &[service, claims] : shares.pools) {
        const auto &own = running[service];
        for (auto claim = claims.begin(); claim != claims.end();) {
            const auto found = own.find(claim->first);
            const std::int64_t milli = found == own.end() ? 0 : found->second;
            double &use = claim->second.recentUse;
            use = accounts::decayedUse(use, static_cast<double>(milli), elapsed);
            claim = milli == 0 && use < negligibleUse ? claims.erase(claim) : std::next(claim);
        }
    }
    std::erase_if(shares.pools, [](const auto &entry) { return entry.second.empty(); });
}

void rankPool(Engine &engine, std::map<AccountId, accounts::PoolClaim> &claims,
              std::vector<WaitingStep> &steps)
{
    for (auto &[account, claim] : claims) {
        claim.isWaiting = false;
    }
    std::unordered_map<AccountId, accounts::PoolClaim *> waiting;
    std::vector<accounts::PoolClaim *> ofSteps;
    ofSteps.reserve(steps.size());
    for (const WaitingStep &step : steps) {
        const AccountId &account = step.job->submission.account;
        accounts::PoolClaim *claim = nullptr;
        if (!account.isEmpty()) {
            const auto [place, isNew] = waiting.try_emplace(account, nullptr);
            if (isNew) {
                place->second = claimOf(engine, claims, account);
            }
            claim = place->second;
            if (claim != nullptr) {
                claim->isWaiting = true;
            }
        }
        ofSteps.push_back(claim);
    }
    std::vector<accounts::PoolClaim *> all;
    all.reserve(claims.size());
    for (auto &[account, claim] : claims) {
        all.push_back(&claim);
    }
    accounts::rankClaims(all);
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (steps[i].job->isBeyondRate) {
            steps[i].share = accounts::ShareRank::Excess;
        } else if (ofSteps[i] != nullptr) {
            steps[i].share = ofSteps[i]->rank;
        }
    }
}

}  // namespace

void countArrival(Engine &engine, jobs::Job &job)
{
    const auto account = engine.accounts.find(job.submission.account);
    if (account == engine.accounts.end() || job.isLongRunning
        || job.submission.spec.repeatCount > 0) {
        return;
    }
    job.isBeyondRate =
            !accounts::takeArrival(engine.shares.arrivals[account->first],
                                   account->second.weight * engine.jobShare, job.acceptedAt);
}

void rankShares(Engine &engine, std::map<ServiceId, std::vector<WaitingStep>> &waiting,
                TimePoint now)
{
    if (engine.accounts.empty()) {
        return;
    }
    sampleUse(engine, now);
    for (auto &[service, steps] : waiting) {
        rankPool(engine, engine.shares.pools[service], steps);
    }
}

void configureShares(Engine &engine)
{
    const auto isRemoved = [&engine](const auto &entry) {
        return !engine.accounts.contains(entry.first);
    };
    std::erase_if(engine.shares.arrivals, isRemoved);
    for (auto &[service, claims] : engine.shares.pools) {
        std::erase_if(claims, isRemoved);
        for (auto &[account, claim] : claims) {
            claim.weight = engine.accounts.at(account).weight;
        }
    }
}

}  // namespace poplarstream::engine
