#include "poplarstream/node/serving_view.hpp"

namespace poplarstream {

namespace {

// Assumed round-trip times, used to prefer nearer zones until real ones have been measured.
constexpr Milliseconds sameRegionRoundTrip{1};
constexpr Milliseconds otherRegionRoundTrip{40};

Milliseconds assumedRoundTrip(const Configuration &configuration, const ZoneConfig &zone,
                              const ZoneId &ownZone)
{
    if (zone.id == ownZone) {
        return Milliseconds{0};
    }
    const ZoneConfig *ownConfig = configuration.zones.find(ownZone);
    return ownConfig != nullptr && ownConfig->region == zone.region ? sameRegionRoundTrip
                                                                    : otherRegionRoundTrip;
}

}  // namespace

MinionId minionId(Address address)
{
    return MinionId(addressText(address));
}

ServingView makeServingView(std::uint64_t version,
                            std::shared_ptr<const Configuration> configuration,
                            std::span<const ServingHost> hosts, const EntryHostId &self,
                            const ZoneId &ownZone, std::uint32_t livePeers)
{
    ServingView view{.version = version, .configuration = std::move(configuration)};
    view.traffic.entryHost = self;
    view.traffic.ownZone = ownZone;
    view.traffic.livePeers = livePeers;
    for (const ServiceConfig &service : view.configuration->services) {
        if (service.serviceClass == ServiceClass::Urgent) {
            view.traffic.services.push_back({.id = service.id, .idempotent = service.idempotent});
        }
    }
    for (const TenantConfig &tenant : view.configuration->tenants) {
        view.traffic.tenants.push_back({tenant.id, tenant.weight, tenant.quota});
    }
    for (const PoolConfig &pool : view.configuration->pools) {
        view.traffic.pools.push_back({pool.id, pool.services});
    }
    for (const ZoneConfig &zone : view.configuration->zones) {
        view.traffic.zones.push_back(
                {zone.id, assumedRoundTrip(*view.configuration, zone, ownZone)});
    }
    for (const ServingHost &host : hosts) {
        if (!host.isInService) {
            continue;
        }
        for (const Address address : host.config->minions) {
            const MinionId id = minionId(address);
            view.traffic.minions.push_back({id, host.pool, host.config->zone, host.config->slots,
                                            host.config->connections});
        }
    }
    return view;
}

}  // namespace poplarstream
