#include "loans.hpp"

#include <algorithm>  // for min
#include <cmath>  // for ceil

namespace poplarstream::maintenance {
namespace {

// The absences that the waves still need in one pool.
struct PoolWork
{
    std::uint32_t hosts = 0;
    Milliseconds total{0};
    std::size_t wave = 0;
    std::uint32_t loansInProgress = 0;
};

std::vector<PoolWork> workOfPools(const FleetView &view, const BudgetUsage &usage,
                                  const std::vector<std::optional<AbsenceNeed>> &needs)
{
    std::vector<PoolWork> work(view.pools.size());
    for (std::size_t i = 0; i < needs.size(); ++i) {
        const HostView &host = view.hosts[i];
        if (needs[i] && !needs[i]->isLoanReturn && host.state != HostState::Failed) {
            PoolWork &pool = work[usage.poolOf(i)];
            ++pool.hosts;
            pool.total += needs[i]->duration;
            pool.wave = needs[i]->wave;
        }
        const std::size_t from = usage.poolOf(i);
        if (host.grant && hasMove(host.grant->kind) && from != BudgetUsage::noPool
            && view.pools[from].isSpare && host.pool != host.grant->target) {
            if (const std::size_t to = usage.poolIndex(host.grant->target);
                to != BudgetUsage::noPool) {
                ++work[to].loansInProgress;
            }
        }
    }
    return work;
}

std::uint32_t worthwhileLoans(const FleetView &view, const BudgetUsage &usage, std::size_t pool,
                              const PoolWork &work)
{
    const std::uint32_t budget = view.pools[pool].maxAway;
    const std::uint32_t width = usage.maxAwayUnderDemand(pool, 0);
    if (work.hosts <= width || width >= budget || width == 0) {
        return 0;
    }
    const double mean = static_cast<double>(work.total.count()) / work.hosts;
    const auto rollout = [&](std::uint32_t w) {
        return std::ceil(static_cast<double>(work.hosts) / w) * mean;
    };
    const double before = rollout(width);
    const auto moveTime = static_cast<double>(view.policy.moveTime.count());
    std::uint32_t best = 0;
    double bestGain = 0;
    // More loans than hosts with open work never pay off.
    for (std::uint32_t k = 1; k <= work.hosts; ++k) {
        const std::uint32_t widened = usage.maxAwayUnderDemand(pool, k);
        const double saved = (before - rollout(widened) - 2 * moveTime) / before;
        const double gain =
                view.weights.rollout * saved - view.weights.moves * 2.0 * k / work.hosts;
        if (gain > bestGain) {
            bestGain = gain;
            best = k;
        }
        if (widened >= budget) {
            break;
        }
    }
    return best;
}

}  // namespace

std::vector<LoanChoice> chooseLoans(const FleetView &view, const BudgetUsage &usage,
                                    const std::vector<std::optional<AbsenceNeed>> &needs)
{
    std::vector<LoanChoice> choices;
    if (!view.mayLend) {
        return choices;
    }
    const std::vector<PoolWork> work = workOfPools(view, usage, needs);
    std::vector<std::size_t> spareHosts;
    for (std::size_t i = 0; i < view.hosts.size(); ++i) {
        const std::size_t pool = usage.poolOf(i);
        if (pool != BudgetUsage::noPool && view.pools[pool].isSpare && !usage.isAway(i)
            && !(needs[i] && hasMove(needs[i]->kind))) {
            spareHosts.push_back(i);
        }
    }
    BudgetUsage usageWithLoans = usage;
    for (std::size_t pool = 0; pool < work.size() && !spareHosts.empty(); ++pool) {
        if (view.pools[pool].isSpare || work[pool].hosts == 0) {
            continue;
        }
        std::uint32_t count = worthwhileLoans(view, usageWithLoans, pool, work[pool]);
        count -= std::min(count, work[pool].loansInProgress);
        while (count > 0 && !spareHosts.empty()
               && usageWithLoans.refusal(spareHosts.back(), pool) == Refusal::None) {
            const std::size_t host = spareHosts.back();
            spareHosts.pop_back();
            choices.push_back({host, pool, work[pool].wave,
                               needs[host] ? AbsenceKind::RebootAndMove : AbsenceKind::Move});
            usageWithLoans.markAway(host, pool);
            --count;
        }
    }
    return choices;
}

}  // namespace poplarstream::maintenance
