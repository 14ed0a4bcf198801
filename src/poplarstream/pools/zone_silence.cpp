#include "poplarstream/pools/zone_silence.hpp"

#include "poplarstream/engine/attempts.hpp"  // for lapseAfter

namespace poplarstream::pools {

namespace {

constexpr int minAwayWorkers = 2;

struct WorkerCount
{
    int all = 0;
    int away = 0;  // not responding, or not listed
};

bool hasTasks(const engine::Worker &worker)
{
    return !worker.attempts.empty() || !worker.unexpectedAttempts.empty();
}

// Whether this owner has asked the worker without a response, or can't ask it.
bool isSilent(const engine::Worker &worker)
{
    return worker.reachability == engine::Reachability::Unreachable
           || (worker.reachability == engine::Reachability::Unconfirmed
               && worker.entry.address.empty());
}

}  // namespace

void updateSilentZones(SilentZones &silentZones, const engine::Engine &engine,
                       const std::set<jobs::WorkerId> &listed, TimePoint now)
{
    std::map<ZoneId, WorkerCount> zones;
    for (const auto &[incarnation, worker] : engine.workers) {
        // Without tasks only a known zone tells where a worker belongs.
        const bool counts = hasTasks(worker) || (worker.isListed && !worker.entry.zone.isEmpty());
        if (counts && !worker.isGone) {
            WorkerCount &count = zones[worker.entry.zone];
            ++count.all;
            count.away += isSilent(worker) || !listed.contains(incarnation.id) ? 1 : 0;
        }
    }
    for (const auto &[zone, count] : zones) {
        if (count.away >= minAwayWorkers && count.away * 2 > count.all) {
            silentZones[zone] = {now, count.all, count.away};
        }
    }
    std::erase_if(silentZones, [&engine, now](const auto &entry) {
        return engine::lapseAfter(engine.limits.longestLease, entry.second.at) <= now;
    });
}

}  // namespace poplarstream::pools
