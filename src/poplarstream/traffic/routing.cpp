#include "routing.hpp"

#include <algorithm>  // for sort, any_of, min, max, stable_sort
#include <map>  // for map
#include <utility>  // for pair

#include "minion_health.hpp"  // for hasCapacity, loadScore, hasFreshReport
#include "poplarstream/base/rendezvous.hpp"  // for rendezvousScore

namespace poplarstream::traffic {

namespace {

// A minion of another zone is used below this reported load only: its own zone's entry hosts need
// the rest, and reports are as old as the last answer.
constexpr double maxRemoteLoad = 0.9;
// A request with less time left than this many service times leaves the zone at once.
constexpr double nearDeadlineServiceTimes = 3;
// A request that has waited for this part of its time competes for a place in other zones even
// though their minions report no room. Otherwise zones with more entry hosts than minions give each
// request a smaller share than the others, since no zone reports room during a flood.
constexpr double longWaitFraction = 0.05;

// Minions of other zones that one service uses, over all zones: with 15 zones and 4,500 minions all
// would mean a connection to each of them.
constexpr std::size_t maxRemoteCandidates = 32;

// How many of `count` minions one entry host uses, so that `peers` of them cover each minion about
// four times; fewer than 16 would leave too little choice.
std::size_t subsetSize(std::size_t count, std::uint32_t peers)
{
    return std::min(count, std::max<std::size_t>(16, (4 * count + peers - 1) / peers));
}

std::vector<MinionIndex> stableSubset(const TrafficState &state, std::vector<MinionIndex> minions,
                                      const std::string &entryHost, std::size_t size)
{
    if (minions.size() <= size) {
        return minions;
    }
    std::vector<std::pair<std::uint64_t, MinionIndex>> scored;
    scored.reserve(minions.size());
    for (const MinionIndex index : minions) {
        scored.emplace_back(rendezvousScore(entryHost, state.minions[index].settings.id.text()),
                            index);
    }
    std::sort(scored.rbegin(), scored.rend());
    minions.clear();
    for (std::size_t i = 0; i < size; ++i) {
        minions.push_back(scored[i].second);
    }
    std::sort(minions.begin(), minions.end());
    return minions;
}

void refreshService(TrafficState &state, Service &service)
{
    const std::string &entryHost = state.entryHost.text();
    std::map<std::pair<Milliseconds, ZoneId>, std::vector<MinionIndex>> zones;
    std::vector<MinionIndex> own;
    for (MinionIndex index = 0; index < state.minions.size(); ++index) {
        const Minion &minion = state.minions[index];
        const auto &pools = service.pools;
        if (!minion.configured
            || std::find(pools.begin(), pools.end(), minion.pool) == pools.end()) {
            continue;
        }
        if (minion.inOwnZone) {
            own.push_back(index);
        } else {
            zones[{minion.roundTripTime, minion.settings.zone}].push_back(index);
        }
    }
    const std::size_t size = subsetSize(own.size(), state.livePeers);
    service.ownZoneMinions = stableSubset(state, std::move(own), entryHost, size);
    service.remoteMinions.clear();
    for (auto &[zone, minions] : zones) {
        const std::size_t part =
                std::min(subsetSize(minions.size(), state.livePeers),
                         std::max<std::size_t>(1, maxRemoteCandidates / zones.size()));
        const auto subset = stableSubset(state, std::move(minions), entryHost, part);
        service.remoteMinions.insert(service.remoteMinions.end(), subset.begin(), subset.end());
    }
    for (const auto *group : {&service.ownZoneMinions, &service.remoteMinions}) {
        for (const MinionIndex index : *group) {
            state.minions[index].isCandidate = true;
        }
    }
}

// Requests in flight that the minion can hold for this entry host.
double usableCapacity(const TrafficState &state, const Minion &minion, bool own, TimePoint now)
{
    if (!minion.configured || minion.leaving || minion.ejected || !minion.reachable) {
        return 0;
    }
    if (own) {
        return minion.limit;
    }
    const double free =
            hasFreshReport(state, minion, now) && minion.report.slots > minion.report.busy
                    ? minion.report.slots - minion.report.busy
                    : 0;
    return std::min(minion.limit, minion.inFlight + free);
}

}  // namespace

std::optional<MinionIndex> selectOwnZoneMinion(TrafficState &state, const Service &service,
                                               MinionIndex excluded, TimePoint now)
{
    const auto &own = service.ownZoneMinions;
    if (own.empty()) {
        return std::nullopt;
    }
    const auto fits = [&](MinionIndex index) {
        return index != excluded && hasCapacity(state, state.minions[index], now);
    };
    const MinionIndex first = own[state.random.below(own.size())];
    const MinionIndex second = own[state.random.below(own.size())];
    const bool firstFits = fits(first);
    const bool secondFits = fits(second);
    if (firstFits && secondFits) {
        return loadScore(state, state.minions[first], now)
                               <= loadScore(state, state.minions[second], now)
                       ? first
                       : second;
    }
    if (firstFits || secondFits) {
        return firstFits ? first : second;
    }
    const std::size_t start = state.random.below(own.size());
    for (std::size_t i = 0; i < own.size(); ++i) {
        const MinionIndex index = own[(start + i) % own.size()];
        if (fits(index)) {
            return index;
        }
    }
    return std::nullopt;
}

bool mayDispatchRemote(const TrafficState &state, const PendingRequest &request,
                       const Minion &minion, TimePoint now)
{
    if (!hasCapacity(state, minion, now)
        || !mayLeaveZone(state, request, minion.roundTripTime, now)) {
        return false;
    }
    if (hasFreshReport(state, minion, now)
        && minion.report.busy + minion.sentSinceReport < maxRemoteLoad * minion.report.slots) {
        return true;
    }
    const bool hasWaitedLong =
            now - request.admittedAt >= longWaitFraction
                                                * std::chrono::duration<double, std::milli>(
                                                        request.deadline - request.admittedAt);
    return minion.inFlight == 0 && (hasWaitedLong || !hasFreshReport(state, minion, now));
}

std::optional<MinionIndex> selectRemoteMinion(TrafficState &state, const Service &service,
                                              const PendingRequest &request, MinionIndex excluded,
                                              TimePoint now)
{
    // Two candidates are drawn by reservoir sampling from the nearest zones that have any.
    std::size_t seen = 0;
    MinionIndex best = 0;
    MinionIndex second = 0;
    for (const MinionIndex index : service.remoteMinions) {
        const Minion &minion = state.minions[index];
        if (seen > 0 && minion.roundTripTime > state.minions[best].roundTripTime) {
            break;
        }
        if (index == excluded || !mayDispatchRemote(state, request, minion, now)) {
            continue;
        }
        ++seen;
        if (seen == 1 || state.random.below(seen) == 0) {
            second = seen == 1 ? index : best;
            best = index;
        } else if (seen == 2 || state.random.below(seen - 1) == 0) {
            second = index;
        }
    }
    if (seen == 0) {
        return std::nullopt;
    }
    return loadScore(state, state.minions[best], now)
                           <= loadScore(state, state.minions[second], now)
                   ? best
                   : second;
}

bool mayLeaveZone(const TrafficState &state, const PendingRequest &request,
                  Milliseconds roundTripTime, TimePoint now)
{
    const Service &service = state.services[request.service];
    const bool ownUsable = std::any_of(
            service.ownZoneMinions.begin(), service.ownZoneMinions.end(), [&](MinionIndex i) {
                const Minion &minion = state.minions[i];
                return minion.reachable && !minion.leaving && !minion.ejected;
            });
    const auto left = static_cast<double>((request.deadline - now).count());
    return !ownUsable || now - request.admittedAt >= roundTripTime
           || left < nearDeadlineServiceTimes * service.serviceTime.mean
                              + static_cast<double>(roundTripTime.count());
}

void refreshCandidates(TrafficState &state)
{
    for (Minion &minion : state.minions) {
        minion.isCandidate = false;
    }
    for (Service &service : state.services) {
        refreshService(state, service);
    }
}

void refreshCapacity(TrafficState &state, TimePoint now)
{
    std::vector<double> activeWeight(state.pools.size(), 0);
    for (const Service &service : state.services) {
        for (const PoolIndex pool : service.pools) {
            activeWeight[pool] += service.queue.count > 0 ? service.settings.weight : 0;
        }
    }
    for (Service &service : state.services) {
        service.capacity = 0;
        const double weight = service.settings.weight;
        for (const auto *group : {&service.ownZoneMinions, &service.remoteMinions}) {
            for (const MinionIndex index : *group) {
                const Minion &minion = state.minions[index];
                const double active =
                        activeWeight[minion.pool] + (service.queue.count > 0 ? 0 : weight);
                service.capacity +=
                        usableCapacity(state, minion, group == &service.ownZoneMinions, now)
                        * weight / active;
            }
        }
        service.usable = service.capacity > 0;
        if (service.usable) {
            service.lastUsableAt = now;
        } else {
            // While connections are being opened again, one place at each candidate is assumed.
            service.capacity = static_cast<double>(service.ownZoneMinions.size()
                                                   + service.remoteMinions.size());
        }
    }
}

}  // namespace poplarstream::traffic
