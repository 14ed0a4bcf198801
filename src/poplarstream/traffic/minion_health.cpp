#include "minion_health.hpp"

#include <algorithm>  // for min, max

namespace poplarstream::traffic {

namespace {

// A minion whose latency is this many times its service's mean is ejected.
constexpr double ejectionLatencyRatio = 4;
// Above this ratio the limit decreases: the minion has fewer usable slots than configured.
constexpr double overloadLatencyRatio = 2;
// A leaving process reports it in every response until it exits. A response without it this long
// after the last leaving report is from a restarted process, not an older response that was
// delayed.
constexpr Milliseconds leavingReportTimeout{3000};
constexpr std::uint32_t ejectionConsecutiveFailures = 5;
constexpr double ejectionFailureRate = 0.5;
constexpr std::uint32_t minLatencySamples = 20;

bool mayEject(const TrafficState &state, const Minion &minion)
{
    for (const ServiceIndex index : state.pools[minion.pool].services) {
        const Service &service = state.services[index];
        std::size_t candidates = 0;
        std::size_t ejected = 0;
        for (const auto *group : {&service.ownZoneMinions, &service.remoteMinions}) {
            for (const MinionIndex other : *group) {
                ++candidates;
                ejected += state.minions[other].ejected ? 1 : 0;
            }
        }
        const auto allowed = std::max<std::size_t>(
                candidates >= 2 ? 1 : 0, static_cast<std::size_t>(static_cast<double>(candidates)
                                                                  * state.policy.maxEjectedShare));
        if (ejected + 1 > allowed) {
            return false;
        }
    }
    return true;
}

void eject(TrafficState &state, Minion &minion, TimePoint now)
{
    if (minion.ejected || !mayEject(state, minion)) {
        return;
    }
    const std::uint32_t doublings = std::min(minion.ejections, 5U);
    minion.ejected = true;
    minion.halfOpen = false;
    minion.ejectedUntil = now + state.policy.baseEjectionTime * (1U << doublings);
    minion.consecutiveFailures = 0;
    minion.failureRate = 0;
    minion.latencyRatio = TimeEstimate{1, 0.5, 0};
    minion.limit = 1;
    ++minion.ejections;
    ++state.counters.ejections;
}

void decreaseLimit(Minion &minion, double factor, TimePoint now)
{
    minion.limit = std::max(1.0, minion.limit * factor);
    minion.limitDecreasedAt = now;
}

// Exponential backoff from 10 ms to 640 ms, so that a minion that refuses immediately gets a few
// requests per second instead of one per round trip.
void applyBackoff(Minion &minion, TimePoint now)
{
    ++minion.consecutiveFailures;
    const std::uint32_t doublings = std::min(minion.consecutiveFailures - 1, 6U);
    minion.backoffUntil = now + Milliseconds{10} * (1U << doublings);
}

void adaptLimit(TrafficState &state, Minion &minion, double mean, TimePoint now)
{
    const bool mayDecrease = static_cast<double>((now - minion.limitDecreasedAt).count()) > mean;
    const auto &report = minion.report;
    const bool reported = report.slots > 0 && minion.reportedAt == now;
    if (reported && report.busy > report.slots) {
        if (mayDecrease) {
            const double excess = static_cast<double>(report.busy - report.slots) / report.slots;
            decreaseLimit(minion, 1 - std::min(0.3, excess / 2), now);
        }
    } else if (minion.latencyRatio.samples >= minLatencySamples
               && minion.latencyRatio.mean > overloadLatencyRatio) {
        if (mayDecrease) {
            decreaseLimit(minion, 0.9, now);
        }
    } else if (minion.inFlight + 1 >= static_cast<std::uint32_t>(minion.limit)) {
        minion.limit =
                std::min<double>(maxConnections(state, minion), minion.limit + 1 / minion.limit);
    }
}

}  // namespace

std::uint32_t maxConnections(const TrafficState &state, const Minion &minion)
{
    return std::max(2U, minion.settings.connections / std::max(1U, state.livePeers));
}

bool hasCapacity(const TrafficState &state, const Minion &minion, TimePoint now)
{
    if (!minion.configured || minion.leaving || minion.ejected || !minion.reachable
        || now < minion.backoffUntil) {
        return false;
    }
    const auto limit = minion.halfOpen ? 1U : static_cast<std::uint32_t>(minion.limit);
    return minion.inFlight < limit
           && (!minion.idle.empty()
               || minion.connections.size()
                          < maxConnections(state, minion) + minion.overdueConnections);
}

bool hasFreshReport(const TrafficState &state, const Minion &minion, TimePoint now)
{
    return minion.report.slots > 0 && now - minion.reportedAt <= state.policy.maxReportAge;
}

double loadScore(const TrafficState &state, const Minion &minion, TimePoint now)
{
    const double own = (minion.inFlight + 1) / minion.limit;
    double load = own;
    if (hasFreshReport(state, minion, now)) {
        const double reported = static_cast<double>(minion.report.busy + minion.sentSinceReport + 1)
                                / minion.report.slots;
        load = std::max(reported, own / 2);
    }
    return load * (1 + 10 * minion.failureRate);
}

void recordLoadReport(Minion &minion, const LoadReport &report, TimePoint openedAt, TimePoint now)
{
    if (report.leaving) {
        minion.leaving = true;
        minion.leavingReportedAt = now;
    } else if (minion.leaving && !minion.leavingByMembership
               && (openedAt >= minion.leavingReportedAt
                   || now - minion.leavingReportedAt > leavingReportTimeout)) {
        minion.leaving = false;
    }
    if (report.slots > 0) {
        minion.report = report;
        minion.reportedAt = now;
        minion.sentSinceReport = 0;
    }
}

void recordSuccess(TrafficState &state, MinionIndex index, double milliseconds, double mean,
                   TimePoint now)
{
    Minion &minion = state.minions[index];
    minion.consecutiveFailures = 0;
    minion.failureRate -= minion.failureRate / 16;
    minion.latencyRatio.add(milliseconds / std::max(1.0, mean));
    if (minion.halfOpen) {
        minion.halfOpen = false;
        minion.ejections = minion.latencyRatio.mean > ejectionLatencyRatio ? minion.ejections : 0;
    }
    adaptLimit(state, minion, mean, now);
    if (minion.latencyRatio.samples >= minLatencySamples
        && minion.latencyRatio.mean > ejectionLatencyRatio) {
        eject(state, minion, now);
    }
}

void recordRefusal(TrafficState &state, MinionIndex index, TimePoint now)
{
    Minion &minion = state.minions[index];
    applyBackoff(minion, now);
    decreaseLimit(minion, 0.7, now);
    // A full minion refuses in normal operation; eject only one that refuses everything.
    if (minion.consecutiveFailures >= 2 * ejectionConsecutiveFailures) {
        eject(state, minion, now);
    }
}

void recordFailure(TrafficState &state, MinionIndex index, TimePoint now)
{
    Minion &minion = state.minions[index];
    applyBackoff(minion, now);
    minion.failureRate += (1 - minion.failureRate) / 16;
    decreaseLimit(minion, 0.7, now);
    if (minion.halfOpen || minion.consecutiveFailures >= ejectionConsecutiveFailures
        || minion.failureRate > ejectionFailureRate) {
        eject(state, minion, now);
    }
}

void recordOverdue(Minion &minion, TimePoint now)
{
    decreaseLimit(minion, 0.9, now);
}

void recordHealthyProbe(Minion &minion, TimePoint now)
{
    if (minion.ejected && now >= minion.ejectedUntil) {
        minion.ejected = false;
        minion.halfOpen = true;
        minion.backoffUntil = now;
    }
}

}  // namespace poplarstream::traffic
