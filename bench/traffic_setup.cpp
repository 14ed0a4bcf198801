#include "traffic_setup.hpp"

namespace poplarstream::bench {

WorldSetup makeSetup(std::size_t zoneCount, std::vector<std::size_t> entryZones)
{
    WorldSetup setup;
    for (std::size_t i = 0; i < zoneCount; ++i) {
        setup.zones.emplace_back(std::string(1, static_cast<char>('a' + i)));
    }
    setup.roundTrip.assign(zoneCount, std::vector<Micros>(zoneCount, 1000));
    setup.entryZones = std::move(entryZones);
    return setup;
}

std::size_t addService(WorldSetup &setup, const std::string &name, Micros time, bool idempotent)
{
    setup.settings.services.push_back({ServiceId(name), idempotent, 1, Milliseconds{time / 1000}});
    setup.serviceTime.push_back(time);
    return setup.settings.services.size() - 1;
}

std::size_t addTenants(WorldSetup &setup, std::size_t count)
{
    const std::size_t first = setup.settings.tenants.size();
    for (std::size_t i = 0; i < count; ++i) {
        setup.settings.tenants.push_back({AccountId("t" + std::to_string(first + i)), 1, 0});
    }
    return first;
}

void addPool(WorldSetup &setup, const std::string &name, std::size_t minions)
{
    traffic::PoolSettings pool{PoolId(name), {}};
    for (const auto &service : setup.settings.services) {
        pool.services.push_back(service.id);
    }
    setup.settings.pools.push_back(pool);
    for (std::size_t i = 0; i < minions; ++i) {
        setup.settings.minions.push_back({MinionId(name + std::to_string(i)), PoolId(name),
                                          setup.zones[i % setup.zones.size()], slotsPerMinion, 64});
        setup.realSlots.push_back(slotsPerMinion);
    }
}

double capacity(const WorldSetup &setup, Micros time)
{
    return static_cast<double>(setup.realSlots.size()) * slotsPerMinion * 1e6
           / static_cast<double>(time);
}

std::function<double(Micros)> constantRate(double rate)
{
    return [rate](Micros) { return rate; };
}

std::function<double(Micros)> rateBetween(double rate, Micros from, Micros to)
{
    return [=](Micros time) { return time >= from && time < to ? rate : 0; };
}

}  // namespace poplarstream::bench
