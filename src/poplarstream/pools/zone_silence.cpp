#include "poplarstream/pools/zone_silence.hpp"

#include <map>  // for map

namespace poplarstream::pools {

namespace {

constexpr int minAwayWorkers = 2;

// The polled workers of a zone.
struct PolledWorkers
{
    int all = 0;
    int away = 0;  // not responding, or not listed
};

bool hasTasks(const engine::Worker &worker)
{
    return !worker.attempts.empty() || !worker.unexpectedAttempts.empty();
}

}  // namespace

void updateSilentZones(std::set<ZoneId> &silentZones, const engine::Engine &engine,
                       const std::set<jobs::WorkerId> &listed)
{
    std::map<ZoneId, PolledWorkers> zones;
    for (const auto &[incarnation, worker] : engine.workers) {
        const bool isSilent = worker.reachability != engine::Reachability::Reachable;
        // A worker that responds is polled while it has tasks only.
        const bool isPolled = !worker.isGone && worker.pollNumber > 0
                              && (hasTasks(worker) || (isSilent && worker.isListed));
        if (isPolled) {
            PolledWorkers &polled = zones[worker.entry.zone];
            ++polled.all;
            polled.away += isSilent || !listed.contains(incarnation.id) ? 1 : 0;
        }
    }
    std::erase_if(silentZones, [&zones](const ZoneId &zone) {
        const auto found = zones.find(zone);
        return found == zones.end() || found->second.away * 2 <= found->second.all;
    });
    for (const auto &[zone, polled] : zones) {
        if (polled.away >= minAwayWorkers && polled.away * 2 > polled.all) {
            silentZones.insert(zone);
        }
    }
}

}  // namespace poplarstream::pools
