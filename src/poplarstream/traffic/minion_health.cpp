#include "minion_health.hpp"

#include <algorithm>  // for min, max

namespace poplarstream::traffic {

namespace {

// A minion that takes this many times the mean of its service is ejected as slow.
constexpr double slowFactor = 4;
// Beyond this factor the limit shrinks: the minion runs fewer slots than it declares.
constexpr double crowdedFactor = 2;
// A process that leaves marks every answer until it ends, so an unmarked one that comes this long
// after the last mark is from its successor and not an older answer that was overtaken.
constexpr Milliseconds markLifetime{3000};
constexpr std::uint32_t failuresToEject = 5;
constexpr double failureRateToEject = 0.5;
constexpr std::uint32_t samplesForSlowness = 20;

bool mayEject(const TrafficState &state, const Minion &minion)
{
    for (const ServiceIndex index : state.pools[minion.pool].services) {
        const Service &service = state.services[index];
        std::size_t listed = 0;
        std::size_t ejected = 0;
        for (const auto *group : {&service.own, &service.remote}) {
            for (const MinionIndex other : *group) {
                ++listed;
                ejected += state.minions[other].ejected ? 1 : 0;
            }
        }
        const auto allowed = std::max<std::size_t>(
                listed >= 2 ? 1 : 0, static_cast<std::size_t>(static_cast<double>(listed)
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
    minion.trial = false;
    minion.ejectedUntil = now + state.policy.ejectionTime * (1U << doublings);
    minion.failuresInARow = 0;
    minion.failureRate = 0;
    minion.slowness = TimeEstimate{1, 0.5, 0};
    minion.limit = 1;
    ++minion.ejections;
    ++state.counters.ejections;
}

void cutLimit(Minion &minion, double factor, TimePoint now)
{
    minion.limit = std::max(1.0, minion.limit * factor);
    minion.lastCut = now;
}

// Pauses grow from 10 ms to 640 ms, so that a minion that refuses at once gets a few requests a
// second instead of one for each round trip.
void pause(Minion &minion, TimePoint now)
{
    ++minion.failuresInARow;
    const std::uint32_t doublings = std::min(minion.failuresInARow - 1, 6U);
    minion.pausedUntil = now + Milliseconds{10} * (1U << doublings);
}

void adaptLimit(TrafficState &state, Minion &minion, double mean, TimePoint now)
{
    const bool mayCut = static_cast<double>((now - minion.lastCut).count()) > mean;
    const auto &report = minion.report;
    const bool reported = report.slots > 0 && minion.reportedAt == now;
    if (reported && report.busy > report.slots) {
        if (mayCut) {
            const double excess = static_cast<double>(report.busy - report.slots) / report.slots;
            cutLimit(minion, 1 - std::min(0.3, excess / 2), now);
        }
    } else if (minion.slowness.samples >= samplesForSlowness
               && minion.slowness.mean > crowdedFactor) {
        if (mayCut) {
            cutLimit(minion, 0.9, now);
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

bool hasRoom(const TrafficState &state, const Minion &minion, TimePoint now)
{
    if (!minion.listed || minion.leaving || minion.ejected || !minion.reachable
        || now < minion.pausedUntil) {
        return false;
    }
    const auto limit = minion.trial ? 1U : static_cast<std::uint32_t>(minion.limit);
    return minion.inFlight < limit
           && (!minion.idle.empty()
               || minion.connections.size() < maxConnections(state, minion) + minion.doubtful);
}

bool hasFreshReport(const TrafficState &state, const Minion &minion, TimePoint now)
{
    return minion.report.slots > 0 && now - minion.reportedAt <= state.policy.reportAge;
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

void noteReport(Minion &minion, const LoadReport &report, TimePoint openedAt, TimePoint now)
{
    if (report.leaving) {
        minion.leaving = true;
        minion.markedAt = now;
    } else if (minion.leaving && !minion.listedLeaving
               && (openedAt >= minion.markedAt || now - minion.markedAt > markLifetime)) {
        minion.leaving = false;
    }
    if (report.slots > 0) {
        minion.report = report;
        minion.reportedAt = now;
        minion.sentSinceReport = 0;
    }
}

void noteSuccess(TrafficState &state, MinionIndex index, double milliseconds, double mean,
                 TimePoint now)
{
    Minion &minion = state.minions[index];
    minion.failuresInARow = 0;
    minion.failureRate -= minion.failureRate / 16;
    minion.slowness.add(milliseconds / std::max(1.0, mean));
    if (minion.trial) {
        minion.trial = false;
        minion.ejections = minion.slowness.mean > slowFactor ? minion.ejections : 0;
    }
    adaptLimit(state, minion, mean, now);
    if (minion.slowness.samples >= samplesForSlowness && minion.slowness.mean > slowFactor) {
        eject(state, minion, now);
    }
}

void noteRefusal(TrafficState &state, MinionIndex index, TimePoint now)
{
    Minion &minion = state.minions[index];
    pause(minion, now);
    cutLimit(minion, 0.7, now);
    // Refusals of a full minion are normal; only a minion that refuses everything is ejected.
    if (minion.failuresInARow >= 2 * failuresToEject) {
        eject(state, minion, now);
    }
}

void noteFailure(TrafficState &state, MinionIndex index, TimePoint now)
{
    Minion &minion = state.minions[index];
    pause(minion, now);
    minion.failureRate += (1 - minion.failureRate) / 16;
    cutLimit(minion, 0.7, now);
    if (minion.trial || minion.failuresInARow >= failuresToEject
        || minion.failureRate > failureRateToEject) {
        eject(state, minion, now);
    }
}

void noteOverdue(Minion &minion, TimePoint now)
{
    cutLimit(minion, 0.9, now);
}

void noteHealthyProbe(Minion &minion, TimePoint now)
{
    if (minion.ejected && now >= minion.ejectedUntil) {
        minion.ejected = false;
        minion.trial = true;
        minion.pausedUntil = now;
    }
}

}  // namespace poplarstream::traffic
