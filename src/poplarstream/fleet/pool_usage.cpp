#include "poplarstream/fleet/pool_usage.hpp"

#include "poplarstream/fleet/queries.hpp"  // for isAway

namespace poplarstream {
namespace {

// Adds the host to the pool usage if `sign` is 1, or subtracts it if `sign` is -1 (wrapped).
void count(FleetState &state, const FleetHost &host, std::uint32_t sign)
{
    const auto own = state.poolUsage.find(host.config->pool);
    if (own != state.poolUsage.end()) {
        own->second.hosts += sign;
        own->second.away += isAway(state, host) ? sign : 0;
        own->second.granted += host.absence ? sign : 0;
    }
    if (isMovePending(host)) {
        const auto target = state.poolUsage.find(host.absence->target);
        if (target != state.poolUsage.end()) {
            target->second.incoming += sign;
        }
    }
}

constexpr std::uint32_t minusOne = ~std::uint32_t{0};

}  // namespace

bool isMovePending(const FleetHost &host)
{
    return host.absence && host.absence->kind != AbsenceKind::Reboot && !host.absence->moved
           && (host.state == HostState::Draining || host.state == HostState::Away);
}

void recomputePoolUsage(FleetState &state)
{
    state.poolUsage.clear();
    for (const PoolConfig &pool : state.configuration->pools) {
        state.poolUsage.emplace_hint(state.poolUsage.end(), pool.id, PoolUsage{});
    }
    for (const auto &[id, host] : state.hosts) {
        count(state, host, 1);
    }
}

PoolUsageScope::PoolUsageScope(FleetState &state, const FleetHost &host)
    : state_(state)
    , host_(host)
{
    count(state_, host_, minusOne);
}

PoolUsageScope::~PoolUsageScope()
{
    count(state_, host_, 1);
}

}  // namespace poplarstream
