#include "connections.hpp"

#include <algorithm>  // for any_of, max
#include <stdexcept>  // for logic_error

#include "minion_health.hpp"  // for maxConnections

namespace poplarstream::traffic {

namespace {

void refreshReachable(const TrafficState &state, Minion &minion)
{
    minion.reachable = std::any_of(
            minion.connections.begin(), minion.connections.end(), [&](ConnectionNumber number) {
                const Connection &connection = *state.connections.find(number);
                return connection.state != ConnectionState::Connecting
                       && connection.lastReceivedAt >= minion.revalidationStartedAt;
            });
}

// Limits the probe rate in large fleets.
Milliseconds probeInterval(const TrafficState &state)
{
    const std::size_t perSecond = std::max(1U, state.policy.probesPerSecond);
    return std::max(state.policy.probeInterval,
                    Milliseconds{1000 * state.connections.size() / perSecond});
}

void maintainMinion(TrafficState &state, MinionIndex index, TimePoint now, Actions &out)
{
    Minion &minion = state.minions[index];
    const Milliseconds interval = probeInterval(state);
    const auto numbers = minion.connections;
    for (const ConnectionNumber number : numbers) {
        Connection *connection = state.connections.find(number);
        if (connection == nullptr) {
            continue;
        }
        if (connection->state == ConnectionState::Idle) {
            if (!minion.isCandidate) {
                removeConnection(state, number, true, out);
            } else if (now - connection->lastReceivedAt >= interval) {
                sendProbe(state, number, now, out);
            }
        } else if (connection->probeInFlight
                   && now - connection->stateSince >= state.policy.probeTimeout) {
            ++state.counters.silentConnections;
            removeConnection(state, number, true, out);
            revalidateConnections(state, index, now, out);
        }
    }
    if (minion.isCandidate && minion.connections.size() == minion.overdueConnections
        && now >= minion.reopenAt) {
        openConnection(state, index, now, out);
    }
}

}  // namespace

void applyEvent(TrafficState &state, ConnectionNumber number, ConnectionEvent event, TimePoint now)
{
    Connection &connection = *state.connections.find(number);
    const auto after = next(connection.state, event);
    if (!after) {
        throw std::logic_error("event not valid in the state of the connection");
    }
    connection.state = *after;
    connection.stateSince = now;
}

ConnectionNumber openConnection(TrafficState &state, MinionIndex minion, TimePoint now,
                                Actions &out)
{
    Connection connection;
    connection.minion = minion;
    connection.stateSince = now;
    connection.openedAt = now;
    const ConnectionNumber number = state.connections.insert(connection);
    state.minions[minion].connections.push_back(number);
    state.timers.push({now + state.policy.connectTimeout, TimerKind::Connect,
                       static_cast<std::uint64_t>(number)});
    out.emplace_back(OpenConnection{number, state.minions[minion].settings.id});
    return number;
}

ConnectionNumber acquireConnection(TrafficState &state, MinionIndex index, TimePoint now,
                                   Actions &out)
{
    Minion &minion = state.minions[index];
    if (minion.idle.empty()) {
        return openConnection(state, index, now, out);
    }
    const ConnectionNumber number = minion.idle.back();
    minion.idle.pop_back();
    return number;
}

void removeConnection(TrafficState &state, ConnectionNumber number, bool emitClose, Actions &out)
{
    const Connection *connection = state.connections.find(number);
    if (connection == nullptr) {
        return;
    }
    Minion &minion = state.minions[connection->minion];
    if (connection->state == ConnectionState::Probing && !connection->probeInFlight) {
        --minion.overdueConnections;
    }
    std::erase(minion.connections, number);
    std::erase(minion.idle, number);
    state.connections.erase(number);
    refreshReachable(state, minion);
    if (emitClose) {
        out.emplace_back(CloseConnection{number});
    }
}

void becomeIdle(TrafficState &state, ConnectionNumber number, ConnectionEvent event, TimePoint now)
{
    Connection &connection = *state.connections.find(number);
    Minion &minion = state.minions[connection.minion];
    if (connection.state == ConnectionState::Probing && !connection.probeInFlight) {
        --minion.overdueConnections;
    }
    applyEvent(state, number, event, now);
    connection.attempt = {};
    connection.probeInFlight = false;
    connection.lastReceivedAt = now;
    minion.idle.push_back(number);
    minion.reachable = true;
    minion.connectFailures = 0;
}

void sendProbe(TrafficState &state, ConnectionNumber number, TimePoint now, Actions &out)
{
    Connection &connection = *state.connections.find(number);
    std::erase(state.minions[connection.minion].idle, number);
    applyEvent(state, number, ConnectionEvent::ProbeSent, now);
    connection.probeInFlight = true;
    out.emplace_back(SendProbe{number});
}

void revalidateConnections(TrafficState &state, MinionIndex index, TimePoint now, Actions &out)
{
    Minion &minion = state.minions[index];
    minion.revalidationStartedAt = now;
    const auto idle = minion.idle;
    for (const ConnectionNumber number : idle) {
        if (state.connections.find(number)->lastReceivedAt < now) {
            sendProbe(state, number, now, out);
        }
    }
    refreshReachable(state, minion);
    const bool opening = std::any_of(
            minion.connections.begin(), minion.connections.end(), [&](ConnectionNumber number) {
                return state.connections.find(number)->state == ConnectionState::Connecting;
            });
    if (minion.isCandidate && !opening && now >= minion.reopenAt
        && minion.connections.size() < 2 * maxConnections(state, minion)) {
        openConnection(state, index, now, out);
    }
}

void maintainConnections(TrafficState &state, TimePoint now, Actions &out)
{
    for (MinionIndex index = 0; index < state.minions.size(); ++index) {
        if (state.minions[index].isCandidate || !state.minions[index].connections.empty()) {
            maintainMinion(state, index, now, out);
        }
    }
}

}  // namespace poplarstream::traffic
