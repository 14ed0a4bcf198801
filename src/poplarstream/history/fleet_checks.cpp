#include <map>  // for map
#include <set>  // for set

#include <fmt/format.h>  // for format

#include "check_support.hpp"  // for addViolation

namespace poplarstream::history {

CheckResult checkOnePool(History history)
{
    CheckResult result{"one-pool", 0, {}};
    std::map<HostId, PoolId> pools;
    for (std::size_t i = 0; i < history.size(); ++i) {
        if (const auto *joined = std::get_if<PoolJoined>(&history[i].body)) {
            ++result.checked;
            const auto [member, isNew] = pools.try_emplace(joined->host, joined->pool);
            if (!isNew) {
                addViolation(result, i,
                             fmt::format("host {} joined pool {} while in pool {}",
                                         joined->host.text(), joined->pool.text(),
                                         member->second.text()));
            }
            member->second = joined->pool;
        } else if (const auto *left = std::get_if<PoolLeft>(&history[i].body)) {
            ++result.checked;
            const auto member = pools.find(left->host);
            if (member == pools.end() || member->second != left->pool) {
                addViolation(result, i,
                             fmt::format("host {} left pool {} without being in it",
                                         left->host.text(), left->pool.text()));
            } else {
                pools.erase(member);
            }
        }
    }
    return result;
}

namespace {

struct BudgetReplay
{
    CheckResult &result;
    std::size_t position = 0;
    std::map<PoolId, std::uint32_t> budgets;
    std::map<HostId, PoolId> away;

    std::size_t awayFrom(const PoolId &pool) const
    {
        std::size_t count = 0;
        for (const auto &[host, from] : away) {
            count += from == pool ? 1 : 0;
        }
        return count;
    }

    void operator()(const BudgetSet &e) { budgets[e.pool] = e.maxAway; }
    void operator()(const AbsenceEnded &e) { away.erase(e.host); }
    void operator()(const AbsenceBegan &e)
    {
        // A host that is already away, such as a failed one, uses no additional budget.
        const bool isNew = away.insert_or_assign(e.host, e.pool).second;
        if (!e.isPlanned || !isNew) {
            return;
        }
        ++result.checked;
        const std::size_t count = awayFrom(e.pool);
        if (count > budgets[e.pool]) {
            addViolation(result, position,
                         fmt::format("planned absence of host {} is number {} away from pool {}, "
                                     "whose budget is {}",
                                     e.host.text(), count, e.pool.text(), budgets[e.pool]));
        }
    }
    template <class Other>
    void operator()(const Other &)
    {}
};

}  // namespace

CheckResult checkAvailabilityBudget(History history)
{
    CheckResult result{"availability-budget", 0, {}};
    BudgetReplay replay{result, 0, {}, {}};
    for (; replay.position < history.size(); ++replay.position) {
        std::visit(replay, history[replay.position].body);
    }
    return result;
}

CheckResult checkConfigNeverReverts(History history)
{
    CheckResult result{"config-never-reverts", 0, {}};
    std::map<std::string, std::uint64_t> versions;
    for (std::size_t i = 0; i < history.size(); ++i) {
        const auto *inForce = std::get_if<ConfigInForce>(&history[i].body);
        if (!inForce) {
            continue;
        }
        ++result.checked;
        std::uint64_t &version = versions[inForce->process];
        if (inForce->version < version) {
            addViolation(result, i,
                         fmt::format("{} reverted from version {} to {}", inForce->process, version,
                                     inForce->version));
        }
        version = inForce->version;
    }
    return result;
}

}  // namespace poplarstream::history
