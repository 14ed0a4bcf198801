#include "poplarstream/fleet/queries.hpp"

#include <algorithm>  // for find_if

namespace poplarstream {

bool isAway(const FleetState &state, const FleetHost &host)
{
    return host.state != HostState::InService
           || (!state.lostZones.empty() && state.lostZones.contains(host.config->zone));
}

std::vector<HostId> hostsOf(const FleetState &state, const PoolId &pool)
{
    std::vector<HostId> ids;
    for (const auto &[id, host] : state.hosts) {
        if (host.config->pool == pool) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<AwayHost> awayHosts(const FleetState &state)
{
    std::vector<AwayHost> away;
    for (const auto &[id, host] : state.hosts) {
        if (isAway(state, host)) {
            away.push_back({id, host.config->pool, host.state,
                            state.lostZones.contains(host.config->zone),
                            host.absence ? host.absence->wave : WaveId{}, host.since});
        }
    }
    return away;
}

std::vector<AwayHost> awayHosts(const FleetState &state, const PoolId &pool)
{
    std::vector<AwayHost> away = awayHosts(state);
    std::erase_if(away, [&](const AwayHost &host) { return host.pool != pool; });
    return away;
}

std::optional<PoolBudget> budgetOf(const FleetState &state, const PoolId &pool)
{
    const PoolConfig *config = state.configuration->pools.find(pool);
    const auto usage = state.poolUsage.find(pool);
    if (!config || usage == state.poolUsage.end()) {
        return std::nullopt;
    }
    const PoolUsage &counts = usage->second;
    const std::uint32_t used = counts.away + counts.incoming;
    return PoolBudget{counts.hosts, config->maxAway, counts.away, counts.incoming,
                      config->maxAway > used ? config->maxAway - used : 0};
}

std::optional<LeaseHolder> leaseHolder(const FleetState &state, const DutyId &duty, TimePoint time)
{
    const auto it = state.leases.find(duty);
    return it != state.leases.end() && it->second.expires > time ? std::optional(it->second)
                                                                 : std::nullopt;
}

std::span<const Decision> decisionsOf(const FleetState &state, const HostId &host)
{
    const auto it = state.hosts.find(host);
    return it == state.hosts.end() ? std::span<const Decision>{} : it->second.decisions;
}

std::span<const Decision> decisionsOf(const FleetState &state, const WaveId &wave)
{
    const auto it = state.waves.find(wave);
    return it == state.waves.end() ? std::span<const Decision>{} : it->second.decisions;
}

std::optional<ChangeDecision> changeOutcome(const FleetState &state, const RecordId &id)
{
    const auto it = std::find_if(state.changes.begin(), state.changes.end(),
                                 [&](const ChangeDecision &change) { return change.id == id; });
    return it == state.changes.end() ? std::nullopt : std::optional(*it);
}

}  // namespace poplarstream
