#include "poplarstream/maintenance/budget_usage.hpp"

#include <algorithm>  // for lower_bound, max, min

namespace poplarstream::maintenance {

std::string_view refusalText(Refusal refusal)
{
    switch (refusal) {
    case Refusal::None:
        return "may leave";
    case Refusal::NotInService:
        return "the host is not in service";
    case Refusal::UnknownPool:
        return "the pool does not exist";
    case Refusal::PoolBudget:
        return "the budget of the pool is used up";
    case Refusal::RackHeadroom:
        return "the budget of the pool would not cover the loss of a rack";
    case Refusal::TargetBudget:
        return "the budget of the target pool is used up";
    case Refusal::TargetHeadroom:
        return "the budget of the target pool would not cover the loss of a rack";
    case Refusal::Demand:
        return "the demand needs the capacity of the host";
    }
    return "";
}

BudgetUsage::BudgetUsage(const FleetView &view, std::span<const InFlight> inFlight,
                         bool sustainedDemand)
    : view_(view)
    , sustainedDemand_(sustainedDemand)
    , hosts_(view.hosts.size())
    , pools_(view.pools.size())
{
    const double sum = view.weights.rollout + view.weights.moves + view.weights.flood;
    floodWeightShare_ = sum > 0 ? view.weights.flood / sum : 0;
    std::map<HostId, PoolId> proposed;
    for (const InFlight &entry : inFlight) {
        proposed.emplace(entry.host, entry.target);
    }
    for (std::size_t i = 0; i < view.hosts.size(); ++i) {
        const HostView &host = view.hosts[i];
        HostEntry &entry = hosts_[i];
        entry.pool = poolIndex(host.pool);
        if (entry.pool == noPool) {
            entry.isAway = true;
            continue;
        }
        entry.group = groupIndex(entry.pool, i);
        ++pools_[entry.pool].hostCount;
        pools_[entry.pool].capacity += host.capacity;
        setGroupSize(entry.group, 1);
    }
    for (std::size_t i = 0; i < view.hosts.size(); ++i) {
        const HostView &host = view.hosts[i];
        const auto proposal = proposed.find(host.id);
        const bool isAway =
                host.state != HostState::InService || host.isZoneLost || proposal != proposed.end();
        if (!isAway || hosts_[i].pool == noPool) {
            continue;
        }
        if (host.grant && hasMove(host.grant->kind)) {
            markAway(i, poolIndex(host.grant->target));
        } else {
            markAway(i, proposal == proposed.end() ? noPool : poolIndex(proposal->second));
        }
    }
}

std::size_t BudgetUsage::poolIndex(const PoolId &pool) const
{
    const auto it =
            std::lower_bound(view_.pools.begin(), view_.pools.end(), pool,
                             [](const PoolView &entry, const PoolId &id) { return entry.id < id; });
    return it != view_.pools.end() && it->id == pool
                   ? static_cast<std::size_t>(it - view_.pools.begin())
                   : noPool;
}

std::size_t BudgetUsage::groupIndex(std::size_t pool, std::size_t host)
{
    const HostView &entry = view_.hosts[host];
    const std::string &rack = entry.rack.isEmpty() ? entry.id.text() : entry.rack.text();
    const auto [it, isNew] = groupByRack_.try_emplace({pool, rack}, groups_.size());
    if (isNew) {
        groups_.push_back({pool, 0, 0});
        std::vector<std::uint32_t> &sizes = pools_[pool].groupsBySize;
        if (sizes.empty()) {
            sizes.resize(1);
        }
        ++sizes[0];
    }
    return it->second;
}

void BudgetUsage::setGroupSize(std::size_t group, std::int64_t change)
{
    GroupEntry &entry = groups_[group];
    PoolEntry &pool = pools_[entry.pool];
    --pool.groupsBySize[entry.inService];
    entry.inService = static_cast<std::uint32_t>(entry.inService + change);
    if (pool.groupsBySize.size() <= entry.inService) {
        pool.groupsBySize.resize(entry.inService + 1);
    }
    ++pool.groupsBySize[entry.inService];
    pool.largestGroup = std::max(pool.largestGroup, entry.inService);
    while (pool.largestGroup > 0 && pool.groupsBySize[pool.largestGroup] == 0) {
        --pool.largestGroup;
    }
}

std::uint32_t BudgetUsage::largestGroupWithout(std::size_t pool, std::size_t group) const
{
    const PoolEntry &entry = pools_[pool];
    const bool isOnlyLargest = groups_[group].inService == entry.largestGroup
                               && entry.groupsBySize[entry.largestGroup] == 1;
    return isOnlyLargest && entry.largestGroup > 0 ? entry.largestGroup - 1 : entry.largestGroup;
}

std::uint32_t BudgetUsage::maxAwayUnderDemand(std::size_t pool, std::uint32_t extra) const
{
    const PoolView &view = view_.pools[pool];
    const PoolEntry &entry = pools_[pool];
    // At least one host may always leave: the operator requested the wave, and a long-running flood
    // must not block it forever.
    const auto floor = std::max<std::uint32_t>(
            1, static_cast<std::uint32_t>((1 - floodWeightShare_) * view.maxAway));
    if (entry.hostCount == 0 || entry.capacity <= 0) {
        return floor;
    }
    const std::uint32_t inService = entry.hostCount > entry.away ? entry.hostCount - entry.away : 1;
    const double perHost = entry.capacity / inService;
    const double demand = sustainedDemand_ ? view.sustainedDemand : view.demand;
    const double needed = demand * (1 + floodWeightShare_) / perHost;
    const double spare = static_cast<double>(entry.hostCount + extra) - needed;
    const auto fitting = spare > 0 ? static_cast<std::uint32_t>(spare) : 0;
    return std::min(view.maxAway, std::max(floor, fitting));
}

bool BudgetUsage::demandAllowsLoss(std::size_t pool, double capacity) const
{
    const PoolView &view = view_.pools[pool];
    const double demand = sustainedDemand_ ? view.sustainedDemand : view.demand;
    if (pools_[pool].capacity - capacity >= demand * (1 + floodWeightShare_)) {
        return true;
    }
    const auto floor = std::max<std::uint32_t>(
            1, static_cast<std::uint32_t>((1 - floodWeightShare_) * view.maxAway));
    return pools_[pool].away < floor;
}

Refusal BudgetUsage::poolRefusal(std::size_t pool) const
{
    if (pool == noPool) {
        return Refusal::UnknownPool;
    }
    return pools_[pool].away + 1 > view_.pools[pool].maxAway ? Refusal::PoolBudget : Refusal::None;
}

Refusal BudgetUsage::refusal(std::size_t host, std::size_t target) const
{
    const HostEntry &entry = hosts_[host];
    if (const Refusal refusal = poolRefusal(entry.pool); refusal != Refusal::None) {
        return refusal;
    }
    if (entry.isAway) {
        return Refusal::NotInService;
    }
    const std::uint32_t away = pools_[entry.pool].away + 1;
    if (view_.hasRackHeadroom
        && away + largestGroupWithout(entry.pool, entry.group) > view_.pools[entry.pool].maxAway) {
        return Refusal::RackHeadroom;
    }
    if (target != noPool && target != entry.pool) {
        const std::uint32_t targetAway = pools_[target].away + 1;
        if (targetAway > view_.pools[target].maxAway) {
            return Refusal::TargetBudget;
        }
        if (view_.hasRackHeadroom
            && targetAway + pools_[target].largestGroup > view_.pools[target].maxAway) {
            return Refusal::TargetHeadroom;
        }
    }
    return demandAllowsLoss(entry.pool, view_.hosts[host].capacity) ? Refusal::None
                                                                    : Refusal::Demand;
}

void BudgetUsage::markAway(std::size_t host, std::size_t target)
{
    HostEntry &entry = hosts_[host];
    entry.isAway = true;
    entry.target = target == entry.pool ? noPool : target;
    PoolEntry &pool = pools_[entry.pool];
    ++pool.away;
    pool.capacity -= view_.hosts[host].capacity;
    setGroupSize(entry.group, -1);
    ++groups_[entry.group].away;
    if (entry.target != noPool) {
        ++pools_[entry.target].away;
    }
}

void BudgetUsage::markReturned(std::size_t host)
{
    HostEntry &entry = hosts_[host];
    entry.isAway = false;
    --pools_[entry.pool].away;
    --groups_[entry.group].away;
    if (entry.target != noPool) {
        --pools_[entry.pool].hostCount;
        --pools_[entry.target].away;
        ++pools_[entry.target].hostCount;
        entry.pool = entry.target;
        entry.target = noPool;
        entry.group = groupIndex(entry.pool, host);
    }
    pools_[entry.pool].capacity += view_.hosts[host].capacity;
    setGroupSize(entry.group, 1);
}

}  // namespace poplarstream::maintenance
