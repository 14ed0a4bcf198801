#include <algorithm>  // for max, min
#include <charconv>  // for from_chars

#include "attempts.hpp"  // for failAttempt, sendAttempt, releaseAttempt, removeOverdueAttempts
#include "connections.hpp"  // for becomeIdle, removeConnection, applyEvent, revalidateConnections
#include "dispatch.hpp"  // for dispatchToMinion, dispatchAll
#include "minion_health.hpp"  // for recordLoadReport, recordSuccess, recordRefusal, recordFailure
#include "poplarstream/traffic/urgent_path.hpp"

namespace poplarstream::traffic {

namespace {

// A connection whose response arrived on another one is kept this long for a late response.
constexpr Milliseconds lateResponseTimeout{1000};

// Returns the attempt with this id, or 0 for an invalid id or one of another incarnation.
AttemptNumber parseAttemptId(const TrafficState &state, std::string_view text)
{
    const auto dash = text.find('-');
    if (dash == std::string_view::npos) {
        return {};
    }
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    const char *const first = text.data();
    const char *const last = first + text.size();
    const auto head = std::from_chars(first, first + dash, incarnation, 16);
    const auto tail = std::from_chars(first + dash + 1, last, number, 16);
    const bool whole = head.ec == std::errc{} && head.ptr == first + dash && tail.ec == std::errc{}
                       && tail.ptr == last;
    return whole && incarnation == state.incarnation ? static_cast<AttemptNumber>(number)
                                                     : AttemptNumber{};
}

// Updates the statistics from an attempt that got its response, and deletes it. Returns its
// request.
RequestNumber completeAttempt(TrafficState &state, AttemptNumber number, ResponseKind kind,
                              TimePoint now)
{
    const Attempt attempt = *state.attempts.find(number);
    releaseAttempt(state, number);
    Service &service = state.services[attempt.service];
    const Minion &minion = state.minions[attempt.minion];
    const auto elapsed = static_cast<double>((now - attempt.sentAt - minion.roundTripTime).count());
    const double time = std::max(0.25, elapsed);
    if (kind == ResponseKind::Ok) {
        recordSuccess(state, attempt.minion, time, service.serviceTime.mean, now);
        service.serviceTime.add(time);
    } else if (kind == ResponseKind::Refused) {
        recordRefusal(state, attempt.minion, now);
    } else {
        recordFailure(state, attempt.minion, now);
    }
    const double used = kind == ResponseKind::Refused ? 0 : time;
    adjustCost(service.queue, attempt.key, used - attempt.charged);
    return attempt.request;
}

void deliver(TrafficState &state, RequestNumber number, Actions &out)
{
    const AttemptList attemptNumbers = state.requests.find(number)->attemptNumbers;
    state.requests.erase(number);
    ++state.counters.delivered;
    out.emplace_back(DeliverResponse{number});
    removeOverdueAttempts(state, attemptNumbers, out);
}

// Handles the response to a live attempt, independent of the connection it arrived on.
void handleResponse(TrafficState &state, AttemptNumber number, ResponseKind kind, TimePoint now,
                    Actions &out)
{
    const RequestNumber requestNumber = state.attempts.find(number)->request;
    PendingRequest *request = state.requests.find(requestNumber);
    if (request == nullptr) {
        ++state.counters.lateResponses;
        completeAttempt(state, number, kind, now);
        return;
    }
    const bool retryable = kind == ResponseKind::Refused
                           || (kind == ResponseKind::Failed
                               && state.services[request->service].settings.idempotent);
    if (!retryable) {
        completeAttempt(state, number, kind, now);
        deliver(state, requestNumber, out);
        return;
    }
    const AttemptFailure failure =
            kind == ResponseKind::Refused ? AttemptFailure::Refused : AttemptFailure::Lost;
    const Attempt attempt = *state.attempts.find(number);
    adjustCost(state.services[attempt.service].queue, attempt.key, -attempt.charged);
    if (kind == ResponseKind::Refused) {
        recordRefusal(state, attempt.minion, now);
    } else {
        recordFailure(state, attempt.minion, now);
    }
    failAttempt(state, number, failure, now, out);
}

// Closes a connection that carried an unexpected response. Its attempt stays pending, since the two
// responses may have been swapped.
void detachAttempt(TrafficState &state, ConnectionNumber connection, Actions &out)
{
    const AttemptNumber expected = state.connections.find(connection)->attempt;
    if (Attempt *attempt = state.attempts.find(expected); attempt != nullptr) {
        attempt->connection = {};
    }
    removeConnection(state, connection, true, out);
}

// Sends the request that the connection was opened for. Returns false if there is none any more.
bool sendBoundAttempt(TrafficState &state, ConnectionNumber connection, TimePoint now, Actions &out)
{
    const AttemptNumber number = state.connections.find(connection)->attempt;
    const Attempt *attempt = state.attempts.find(number);
    if (attempt == nullptr) {
        return false;
    }
    const PendingRequest *request = state.requests.find(attempt->request);
    const Minion &minion = state.minions[attempt->minion];
    if (request == nullptr || request->deadline <= now || minion.leaving || !minion.configured) {
        failAttempt(state, number, AttemptFailure::NotSent, now, out);
        return false;
    }
    sendAttempt(state, number, now, out);
    return true;
}

}  // namespace

void onConnected(TrafficState &state, ConnectionNumber number, TimePoint now, Actions &out)
{
    Connection *connection = state.connections.find(number);
    if (connection == nullptr || connection->state != ConnectionState::Connecting) {
        return;
    }
    const MinionIndex index = connection->minion;
    applyEvent(state, number, ConnectionEvent::Connected, now);
    state.minions[index].connectFailures = 0;
    if (sendBoundAttempt(state, number, now, out)) {
        return;
    }
    connection->attempt = {};
    // Connecting proves nothing: the kernel accepts connections for an unresponsive minion, too.
    sendProbe(state, number, now, out);
}

void onConnectionFailure(TrafficState &state, ConnectionNumber number, bool bytesSent,
                         TimePoint now, Actions &out)
{
    const Connection *found = state.connections.find(number);
    if (found == nullptr) {
        return;
    }
    const Connection connection = *found;
    Minion &minion = state.minions[connection.minion];
    removeConnection(state, number, false, out);
    if (connection.state == ConnectionState::Connecting) {
        const std::uint32_t doublings = std::min(minion.connectFailures++, 4U);
        minion.reopenAt = now + Milliseconds{100} * (1U << doublings);
    }
    const Attempt *attempt = state.attempts.find(connection.attempt);
    if (attempt != nullptr && attempt->connection == number) {
        const bool lost = attempt->sent && bytesSent;
        if (lost) {
            recordFailure(state, connection.minion, now);
        }
        failAttempt(state, connection.attempt,
                    lost ? AttemptFailure::Lost : AttemptFailure::NotSent, now, out);
    }
    revalidateConnections(state, connection.minion, now, out);
    dispatchAll(state, now, out);
}

void onResponse(TrafficState &state, ConnectionNumber number, const Response &response,
                TimePoint now, Actions &out)
{
    const Connection *connection = state.connections.find(number);
    if (connection == nullptr || connection->state == ConnectionState::Connecting) {
        ++state.counters.lateResponses;
        return;
    }
    const MinionIndex index = connection->minion;
    recordLoadReport(state.minions[index], response.load, connection->openedAt, now);
    const AttemptNumber attempt = parseAttemptId(state, response.requestId);
    const AttemptNumber expected = connection->attempt;
    if (attempt != AttemptNumber{} && attempt == expected) {
        becomeIdle(state, number, ConnectionEvent::Answered, now);
    } else {
        detachAttempt(state, number, out);
    }
    const Attempt *found = state.attempts.find(attempt);
    if (found == nullptr || !found->sent) {
        ++state.counters.lateResponses;
    } else {
        if (found->connection != number && found->connection != ConnectionNumber{}) {
            state.timers.push({now + lateResponseTimeout, TimerKind::Connect,
                               static_cast<std::uint64_t>(found->connection)});
        }
        handleResponse(state, attempt, response.kind, now, out);
    }
    dispatchToMinion(state, index, now, out);
    if (response.kind != ResponseKind::Ok) {
        dispatchAll(state, now, out);
    }
}

void onProbeResponse(TrafficState &state, ConnectionNumber number, bool healthy,
                     const LoadReport &load, TimePoint now, Actions &out)
{
    const Connection *connection = state.connections.find(number);
    if (connection == nullptr || !connection->probeInFlight) {
        return;
    }
    const MinionIndex index = connection->minion;
    recordLoadReport(state.minions[index], load, connection->openedAt, now);
    becomeIdle(state, number, ConnectionEvent::Answered, now);
    if (healthy) {
        recordHealthyProbe(state.minions[index], now);
    } else {
        recordFailure(state, index, now);
    }
    dispatchToMinion(state, index, now, out);
}

}  // namespace poplarstream::traffic
