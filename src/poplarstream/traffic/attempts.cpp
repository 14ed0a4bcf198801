#include "attempts.hpp"

#include <algorithm>  // for any_of, max
#include <cmath>  // for ceil

#include "admission.hpp"  // for enqueue, dequeue, wouldMissDeadline
#include "connections.hpp"  // for acquireConnection, applyEvent, removeConnection, revalidateConnections
#include "minion_health.hpp"  // for recordOverdue
#include "routing.hpp"  // for selectOwnZoneMinion, selectRemoteMinion

namespace poplarstream::traffic {

namespace {

// Deviations above the mean service time after which a hedge is worth a retry token, and after
// which an unresponsive connection is more likely than a slow response.
constexpr double hedgeDeviations = 4;
constexpr double overdueDeviations = 8;
constexpr double minOverdueMs = 100;

TimePoint afterDeviations(const Service &service, Milliseconds roundTripTime, double deviations,
                          double minMs, TimePoint now)
{
    const double time =
            std::max(minMs, service.serviceTime.mean + deviations * service.serviceTime.deviation);
    return now + roundTripTime + Milliseconds{static_cast<std::int64_t>(std::ceil(time))};
}

TokenBucket &retryBudget(TrafficState &state, const PendingRequest &request)
{
    auto &budgets = state.services[request.service].retryBudgets;
    if (budgets.size() < state.tenants.size()) {
        budgets.resize(state.tenants.size());
    }
    return budgets[request.key.tenant];
}

// Whether an attempt was sent and is still in progress.
bool hasSentAttempt(const TrafficState &state, const PendingRequest &request)
{
    return std::any_of(request.attemptNumbers.begin(), request.attemptNumbers.end(),
                       [&](AttemptNumber number) {
                           const Attempt *attempt = state.attempts.find(number);
                           return attempt != nullptr && attempt->sent;
                       });
}

}  // namespace

void startAttempt(TrafficState &state, RequestNumber number, MinionIndex index, double charged,
                  TimePoint now, Actions &out)
{
    PendingRequest &request = *state.requests.find(number);
    Minion &minion = state.minions[index];
    const ConnectionNumber connection = acquireConnection(state, index, now, out);
    const AttemptNumber attempt = state.attempts.insert(
            {number, request.service, request.key, index, connection, now, false, false, charged});
    state.connections.find(connection)->attempt = attempt;
    ++minion.inFlight;
    ++minion.sentSinceReport;
    ++state.services[request.service].inFlight;
    ++request.liveAttempts;
    request.attemptNumbers[request.attemptCount++] = attempt;
    request.lastMinion = index;
    if (state.connections.find(connection)->state == ConnectionState::Idle) {
        sendAttempt(state, attempt, now, out);
    }
}

void sendAttempt(TrafficState &state, AttemptNumber number, TimePoint now, Actions &out)
{
    Attempt &attempt = *state.attempts.find(number);
    const PendingRequest &request = *state.requests.find(attempt.request);
    const Service &service = state.services[attempt.service];
    const Minion &minion = state.minions[attempt.minion];
    applyEvent(state, attempt.connection, ConnectionEvent::RequestSent, now);
    attempt.sent = true;
    attempt.sentAt = now;
    ++state.counters.dispatched;
    if (request.attemptCount == 1) {
        retryBudget(state, request).deposit(state.policy.retryRatio, state.policy.retryBurst);
    }
    const auto raw = static_cast<std::uint64_t>(number);
    if (service.settings.idempotent) {
        state.timers.push({afterDeviations(service, minion.roundTripTime, hedgeDeviations, 0, now),
                           TimerKind::Hedge, raw});
    }
    state.timers.push(
            {afterDeviations(service, minion.roundTripTime, overdueDeviations, minOverdueMs, now),
             TimerKind::Overdue, raw});
    out.emplace_back(Dispatch{attempt.request, number, attempt.connection, minion.settings.id,
                              request.deadline});
}

void releaseAttempt(TrafficState &state, AttemptNumber number)
{
    const Attempt &attempt = *state.attempts.find(number);
    if (!attempt.overdue) {
        --state.minions[attempt.minion].inFlight;
    }
    --state.services[attempt.service].inFlight;
    if (PendingRequest *request = state.requests.find(attempt.request); request != nullptr) {
        --request->liveAttempts;
    }
    state.attempts.erase(number);
}

bool tryConsumeRetry(TrafficState &state, const PendingRequest &request, AttemptFailure failure,
                     TimePoint now)
{
    const Service &service = state.services[request.service];
    if (request.attemptCount >= maxAttempts || wouldMissDeadline(service, request.deadline, now)
        || state.stopping) {
        return false;
    }
    if (failure == AttemptFailure::NotSent) {
        return true;
    }
    // Once an attempt may have run, only idempotent requests may be sent again.
    if (!service.settings.idempotent && (failure == AttemptFailure::Lost || request.mayHaveRun)) {
        return false;
    }
    return retryBudget(state, request).tryConsume();
}

void failAttempt(TrafficState &state, AttemptNumber number, AttemptFailure failure, TimePoint now,
                 Actions &out)
{
    const RequestNumber requestNumber = state.attempts.find(number)->request;
    releaseAttempt(state, number);
    PendingRequest *request = state.requests.find(requestNumber);
    if (request == nullptr) {
        return;
    }
    request->mayHaveRun = request->mayHaveRun || failure == AttemptFailure::Lost;
    if (failure != AttemptFailure::NotSent) {
        request->lastReason =
                failure == AttemptFailure::Refused ? Reason::MinionRefused : Reason::MinionFailed;
    }
    if (request->liveAttempts > 0) {
        return;
    }
    if (tryConsumeRetry(state, *request, failure, now)) {
        state.counters.retried += failure == AttemptFailure::NotSent ? 0 : 1;
        enqueue(state, requestNumber, true, now);
    } else {
        const bool sent = request->lastReason != Reason::DeadlinePassed;
        failRequest(state, requestNumber, sent ? request->lastReason : Reason::NoMinion,
                    Milliseconds{100}, out);
    }
}

void failRequest(TrafficState &state, RequestNumber number, Reason reason, Milliseconds retryAfter,
                 Actions &out)
{
    const PendingRequest &request = *state.requests.find(number);
    const Verdict verdict = request.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
    if (request.queued) {
        dequeue(state, number);
    }
    state.requests.erase(number);
    ++state.counters.refused;
    out.emplace_back(FailRequest{number, verdict, reason, retryAfter});
}

void onDeadlineTimer(TrafficState &state, RequestNumber number, TimePoint, Actions &out)
{
    PendingRequest *request = state.requests.find(number);
    if (request == nullptr) {
        return;
    }
    if (!request->queued && hasSentAttempt(state, *request)) {
        request->mayHaveRun = true;
        request->lastReason = Reason::MinionFailed;
    }
    const auto attemptNumbers = request->attemptNumbers;
    failRequest(state, number, Reason::DeadlinePassed, Milliseconds{0}, out);
    removeOverdueAttempts(state, attemptNumbers, out);
}

void removeOverdueAttempts(TrafficState &state, const AttemptList &attemptNumbers, Actions &out)
{
    for (const AttemptNumber number : attemptNumbers) {
        const Attempt *attempt = state.attempts.find(number);
        if (attempt != nullptr && attempt->overdue) {
            removeConnection(state, attempt->connection, true, out);
            releaseAttempt(state, number);
        }
    }
}

void onHedgeTimer(TrafficState &state, AttemptNumber number, TimePoint now, Actions &out)
{
    const Attempt *attempt = state.attempts.find(number);
    PendingRequest *request = attempt == nullptr ? nullptr : state.requests.find(attempt->request);
    if (request == nullptr || request->hedged || request->attemptCount >= maxAttempts) {
        return;
    }
    const Service &service = state.services[attempt->service];
    // With a backlog, a hedge would take capacity from queued requests.
    if (service.queue.count > 0 || wouldMissDeadline(service, request->deadline, now)) {
        return;
    }
    auto minion = selectOwnZoneMinion(state, service, attempt->minion, now);
    if (!minion) {
        minion = selectRemoteMinion(state, service, *request, attempt->minion, now);
    }
    if (!minion || !retryBudget(state, *request).tryConsume()) {
        return;
    }
    request->hedged = true;
    ++state.counters.hedged;
    startAttempt(state, attempt->request, *minion, 0, now, out);
}

void onOverdueTimer(TrafficState &state, AttemptNumber number, TimePoint now, Actions &out)
{
    Attempt *attempt = state.attempts.find(number);
    if (attempt == nullptr || attempt->overdue) {
        return;
    }
    Minion &minion = state.minions[attempt->minion];
    const MinionIndex index = attempt->minion;
    const ConnectionNumber connection = attempt->connection;
    attempt->overdue = true;
    --minion.inFlight;
    recordOverdue(minion, now);
    if (const Connection *found = state.connections.find(connection);
        found != nullptr && found->state == ConnectionState::Busy) {
        applyEvent(state, connection, ConnectionEvent::Overdue, now);
        ++minion.overdueConnections;
    }
    revalidateConnections(state, index, now, out);
    if (state.requests.find(attempt->request) == nullptr) {
        removeConnection(state, connection, true, out);
        releaseAttempt(state, number);
    }
}

}  // namespace poplarstream::traffic
