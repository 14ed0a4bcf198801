#include <algorithm>  // for find, max
#include <map>  // for map

#include "admission.hpp"  // for fairWeights
#include "connections.hpp"  // for maintainConnections
#include "dispatch.hpp"  // for dispatchAll
#include "poplarstream/traffic/urgent_path.hpp"
#include "routing.hpp"  // for refreshCandidates, refreshCapacity

namespace poplarstream::traffic {

namespace {

// A weight of 0 would starve a tenant and divide by zero.
constexpr double minWeight = 1e-3;

// Returns the index of `id`, and adds an element for a new id.
template <class Element, class Key>
std::uint32_t indexOf(std::unordered_map<std::string, std::uint32_t> &index,
                      std::vector<Element> &elements, const Key &id)
{
    const auto [found, isNew] =
            index.try_emplace(id.text(), static_cast<std::uint32_t>(elements.size()));
    if (isNew) {
        elements.emplace_back();
    }
    return found->second;
}

void applyServices(TrafficState &state, const TrafficSettings &settings, TimePoint now)
{
    for (Service &service : state.services) {
        service.configured = false;
        service.pools.clear();
    }
    for (const ServiceSettings &newSettings : settings.services) {
        const bool isNew = !state.serviceIndex.contains(newSettings.id.text());
        Service &service =
                state.services[indexOf(state.serviceIndex, state.services, newSettings.id)];
        service.settings = newSettings;
        service.settings.weight = std::max(minWeight, newSettings.weight);
        service.configured = true;
        if (isNew) {
            const auto guess = static_cast<double>(newSettings.expectedServiceTime.count());
            service.serviceTime = TimeEstimate{guess, guess / 2, 0};
            service.lastUsableAt = now;
        }
    }
}

void applyTenants(TrafficState &state, const TrafficSettings &settings)
{
    for (Tenant &tenant : state.tenants) {
        tenant.configured = false;
    }
    for (const TenantSettings &newSettings : settings.tenants) {
        const bool isNew = !state.tenantIndex.contains(newSettings.id.text());
        Tenant &tenant = state.tenants[indexOf(state.tenantIndex, state.tenants, newSettings.id)];
        tenant.settings = newSettings;
        tenant.configured = true;
        if (isNew) {
            tenant.quota.tokens = 3;
        }
    }
    state.tenantWeights.resize(state.tenants.size());
    for (std::size_t i = 0; i < state.tenants.size(); ++i) {
        state.tenantWeights[i] = std::max(minWeight, state.tenants[i].settings.weight);
    }
}

// Updates the sums of active weights after a change of tenant weights.
void recomputeActiveWeights(TrafficState &state)
{
    for (Service &service : state.services) {
        for (UrgencyQueue &level : service.queue.levels) {
            level.activeWeight = 0;
            for (std::size_t i = 0; i < level.flows.size(); ++i) {
                level.activeWeight += level.flows[i].waiting.empty() ? 0 : state.tenantWeights[i];
            }
        }
    }
}

void applyPools(TrafficState &state, const TrafficSettings &settings)
{
    for (Pool &pool : state.pools) {
        pool.services.clear();
    }
    for (const PoolSettings &newSettings : settings.pools) {
        const PoolIndex index = indexOf(state.poolIndex, state.pools, newSettings.id);
        state.pools[index].id = newSettings.id;
        for (const ServiceId &id : newSettings.services) {
            const auto service = state.serviceIndex.find(id.text());
            if (service != state.serviceIndex.end() && state.services[service->second].configured) {
                state.pools[index].services.push_back(service->second);
                state.services[service->second].pools.push_back(index);
            }
        }
    }
}

void applyMinions(TrafficState &state, const TrafficSettings &settings)
{
    std::map<ZoneId, Milliseconds> roundTripTimes;
    for (const ZoneSettings &zone : settings.zones) {
        roundTripTimes[zone.id] = zone.roundTripTime;
    }
    for (Minion &minion : state.minions) {
        minion.configured = false;
    }
    for (const MinionSettings &newSettings : settings.minions) {
        const bool isNew = !state.minionIndex.contains(newSettings.id.text());
        const MinionIndex index = indexOf(state.minionIndex, state.minions, newSettings.id);
        Minion &minion = state.minions[index];
        minion.settings = newSettings;
        minion.pool = indexOf(state.poolIndex, state.pools, newSettings.pool);
        minion.configured = true;
        minion.inOwnZone = newSettings.zone == settings.ownZone;
        minion.roundTripTime =
                minion.inOwnZone ? Milliseconds{0} : roundTripTimes[newSettings.zone];
        if (isNew) {
            const double part =
                    static_cast<double>(newSettings.slots) / std::max(1U, state.livePeers);
            minion.limit = std::max(1.0, part);
        }
    }
}

}  // namespace

void configure(TrafficState &state, const TrafficSettings &settings, TimePoint now, Actions &out)
{
    state.policy = settings.policy;
    state.livePeers = std::max(1U, settings.livePeers);
    state.entryHost = settings.entryHost;
    state.ownZone = settings.ownZone;
    applyServices(state, settings, now);
    applyTenants(state, settings);
    recomputeActiveWeights(state);
    applyPools(state, settings);
    applyMinions(state, settings);
    refreshCandidates(state);
    maintainConnections(state, now, out);
    refreshCapacity(state, now);
    dispatchAll(state, now, out);
}

}  // namespace poplarstream::traffic
