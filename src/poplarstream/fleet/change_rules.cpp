#include <fmt/format.h>  // for format

#include "poplarstream/fleet/pool_usage.hpp"  // for isMovePending
#include "poplarstream/fleet/queries.hpp"  // for isAway
#include "poplarstream/fleet/steps.hpp"  // for hostChangeRefusal

namespace poplarstream {
namespace {

// The absences of a pool if the change came into force. Removing a host in service lowers the
// capacity like an absence without a grant, so it has to fit into the budget too.
struct Absences
{
    std::uint32_t away = 0;
    std::uint32_t granted = 0;
    std::uint32_t removed = 0;
};

using AbsencesByPool = std::map<PoolId, Absences>;

std::string removedHostRefusal(const FleetHost &host)
{
    if (host.absence && host.state != HostState::Failed) {
        return fmt::format("host {} is {} under the absence granted at offset {}; it can be "
                           "removed when it is back or has failed",
                           host.config->id.text(), hostStateText(host.state), host.absence->grant);
    }
    return {};
}

std::string retainedHostRefusal(const FleetHost &host, const HostConfig &after,
                                const Configuration &configuration)
{
    if (after.pool != host.config->pool) {
        return fmt::format("host {} is in pool {}; only a move changes its pool", after.id.text(),
                           host.config->pool.text());
    }
    // A worker keeps fencing tokens until it restarts and compares new ones with them. Tokens are
    // offsets in the stream of the worker's zone. Those of another zone's stream are not comparable
    // and can be equal.
    if (after.zone != host.config->zone) {
        return fmt::format("host {} is in zone {}; to change its zone, remove it and restart its "
                           "worker before it is added again",
                           after.id.text(), host.config->zone.text());
    }
    if (isMovePending(host) && !configuration.pools.contains(host.absence->target)) {
        return fmt::format("host {} is moving to pool {}, which the change removes",
                           after.id.text(), host.absence->target.text());
    }
    return {};
}

void count(const FleetState &state, const FleetHost &host, bool isRemoved, AbsencesByPool &pools)
{
    Absences &own = pools[host.config->pool];
    if (isRemoved) {
        own.removed += isAway(state, host) ? 0 : 1;
        return;
    }
    own.away += isAway(state, host) ? 1 : 0;
    own.granted += host.absence ? 1 : 0;
    if (isMovePending(host)) {
        Absences &target = pools[host.absence->target];
        ++target.away;
        ++target.granted;
    }
}

std::string budgetRefusal(const PoolConfig &pool, const Absences &absences)
{
    if (absences.granted > pool.maxAway) {
        return fmt::format("{} hosts of pool {} are away or moving in by grant, so max_away can "
                           "not be {} yet",
                           absences.granted, pool.id.text(), pool.maxAway);
    }
    if (absences.removed > 0 && absences.away + absences.removed > pool.maxAway) {
        return fmt::format("{} hosts of pool {} are away and the change removes {} in service; {} "
                           "may be away",
                           absences.away, pool.id.text(), absences.removed, pool.maxAway);
    }
    return {};
}

}  // namespace

std::string hostChangeRefusal(const FleetState &state, const Configuration &after)
{
    AbsencesByPool pools;
    for (const auto &[id, host] : state.hosts) {
        const HostConfig *kept = after.hosts.find(id);
        std::string refusal =
                kept ? retainedHostRefusal(host, *kept, after) : removedHostRefusal(host);
        if (!refusal.empty()) {
            return refusal;
        }
        count(state, host, kept == nullptr, pools);
    }
    for (const auto &[id, absences] : pools) {
        const PoolConfig *pool = after.pools.find(id);
        std::string refusal = pool ? budgetRefusal(*pool, absences) : std::string{};
        if (!refusal.empty()) {
            return refusal;
        }
    }
    return {};
}

}  // namespace poplarstream
