#include "routing.hpp"

#include <algorithm>  // for sort, any_of, min, max, stable_sort
#include <map>  // for map
#include <utility>  // for pair

#include "minion_health.hpp"  // for hasCapacity, loadScore, hasFreshReport
#include "poplarstream/base/rendezvous.hpp"  // for rendezvousScore

namespace poplarstream::traffic {

namespace {

// A minion of another zone is used only below this reported load: the entry hosts of its zone need
// the rest, and its last report is as old as its last response.
constexpr double maxRemoteLoad = 0.9;
// A request with fewer mean service times than this before its deadline may leave the zone at once.
constexpr double nearDeadlineServiceTimes = 3;
// A request that has waited for this fraction of its time may be sent to another zone even though
// no free capacity is reported there. Under overload no zone reports any, and requests in zones
// with more entry hosts than minions would otherwise get a smaller share than those in other zones.
constexpr double longWaitFraction = 0.05;

// Per service, across all other zones. Unlimited, each entry host would connect to every minion:
// 4,500 of them with 15 zones.
constexpr std::size_t maxRemoteCandidates = 32;

// Returns how many of `count` minions each of `peers` entry hosts uses, so that about four use each
// minion. Fewer than 16 would leave too little choice.
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

// The number of requests in flight that the minion allows this entry host.
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
    // Draws two candidates by reservoir sampling from the nearest zone with an eligible minion.
    std::size_t eligible = 0;
    MinionIndex best = 0;
    MinionIndex second = 0;
    for (const MinionIndex index : service.remoteMinions) {
        const Minion &minion = state.minions[index];
        if (eligible > 0 && minion.roundTripTime > state.minions[best].roundTripTime) {
            break;
        }
        if (index == excluded || !mayDispatchRemote(state, request, minion, now)) {
            continue;
        }
        ++eligible;
        if (eligible == 1 || state.random.below(eligible) == 0) {
            second = eligible == 1 ? index : best;
            best = index;
        } else if (eligible == 2 || state.random.below(eligible - 1) == 0) {
            second = index;
        }
    }
    if (eligible == 0) {
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
    const auto timeLeft = static_cast<double>((request.deadline - now).count());
    return !ownUsable || now - request.admittedAt >= roundTripTime
           || timeLeft < nearDeadlineServiceTimes * service.serviceTime.mean
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
            // Assumes one slot per candidate while connections are being reopened.
            service.capacity = static_cast<double>(service.ownZoneMinions.size()
                                                   + service.remoteMinions.size());
        }
    }
}

}  // namespace poplarstream::traffic
