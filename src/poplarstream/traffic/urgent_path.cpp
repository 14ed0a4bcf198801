#include "poplarstream/traffic/urgent_path.hpp"

#include <algorithm>  // for min

#include "admission.hpp"  // for checkAdmission, enqueue
#include "attempts.hpp"  // for failRequest, removeOverdueAttempts, onDeadlineTimer, onHedgeTimer, onOverdueTimer
#include "connections.hpp"  // for removeConnection, maintainConnections
#include "dispatch.hpp"  // for dispatchFromService, dispatchAll
#include "routing.hpp"  // for refreshCapacity

namespace poplarstream::traffic {

namespace {

// Capacity and connections change slowly compared with the tick interval.
constexpr Milliseconds refreshInterval{20};

RequestNumber refuseUnknown(TrafficState &state, Reason reason, Actions &out)
{
    const RequestNumber number = state.requests.insert({});
    state.requests.erase(number);
    ++state.counters.refused;
    out.emplace_back(FailRequest{number, Verdict::NotRun, reason, Milliseconds{0}});
    return number;
}

void closeExpiredConnection(TrafficState &state, ConnectionNumber number, TimePoint now,
                            Actions &out)
{
    const Connection *connection = state.connections.find(number);
    if (connection == nullptr) {
        return;
    }
    if (connection->state == ConnectionState::Connecting) {
        onConnectionFailure(state, number, false, now, out);
        out.emplace_back(CloseConnection{number});
    } else if (connection->attempt != AttemptNumber{}
               && state.attempts.find(connection->attempt) == nullptr) {
        removeConnection(state, number, true, out);
    }
}

void runTimer(TrafficState &state, const Timer &timer, TimePoint now, Actions &out)
{
    switch (timer.kind) {
    case TimerKind::Deadline:
        onDeadlineTimer(state, static_cast<RequestNumber>(timer.number), now, out);
        break;
    case TimerKind::Hedge:
        onHedgeTimer(state, static_cast<AttemptNumber>(timer.number), now, out);
        break;
    case TimerKind::Overdue:
        onOverdueTimer(state, static_cast<AttemptNumber>(timer.number), now, out);
        break;
    case TimerKind::Connect:
        closeExpiredConnection(state, static_cast<ConnectionNumber>(timer.number), now, out);
        break;
    }
}

}  // namespace

RequestNumber admit(TrafficState &state, const Request &request, TimePoint now, Actions &out)
{
    ++state.counters.arrived;
    const auto service = state.serviceIndex.find(request.service.text());
    if (service == state.serviceIndex.end() || !state.services[service->second].configured) {
        return refuseUnknown(state, Reason::UnknownService, out);
    }
    const auto tenant = state.tenantIndex.find(request.tenant.text());
    if (tenant == state.tenantIndex.end() || !state.tenants[tenant->second].configured) {
        return refuseUnknown(state, Reason::UnknownTenant, out);
    }
    const auto urgency = std::min<std::uint8_t>(request.urgency, urgencyLevels - 1);
    const FlowKey key{urgency, tenant->second};
    const auto refusal = checkAdmission(state, request, service->second, key, now);
    if (refusal && state.requests.isFull()) {
        return refuseUnknown(state, refusal->reason, out);
    }
    PendingRequest pending;
    pending.service = service->second;
    pending.key = key;
    pending.bytes = request.bytes;
    pending.admittedAt = now;
    pending.deadline = request.deadline;
    pending.queued = false;
    const RequestNumber number = state.requests.insert(pending);
    if (refusal) {
        failRequest(state, number, refusal->reason, refusal->retryAfter, out);
        return number;
    }
    state.timers.push({request.deadline, TimerKind::Deadline, static_cast<std::uint64_t>(number)});
    const bool hadQueue = state.services[service->second].queue.count > 0;
    enqueue(state, number, false, now);
    if (!hadQueue) {
        dispatchFromService(state, service->second, now, out);
    }
    return number;
}

void onLeaving(TrafficState &state, const MinionId &minion, bool isLeaving)
{
    const auto found = state.minionIndex.find(minion.text());
    if (found != state.minionIndex.end()) {
        Minion &known = state.minions[found->second];
        known.leaving = isLeaving || (known.leaving && !known.leavingByMembership);
        known.leavingByMembership = isLeaving;
    }
}

void onCallerDisconnected(TrafficState &state, RequestNumber request, Actions &out)
{
    const PendingRequest *found = state.requests.find(request);
    if (found == nullptr) {
        return;
    }
    if (found->queued) {
        dequeue(state, request);
    }
    const AttemptList attemptNumbers = found->attemptNumbers;
    state.requests.erase(request);
    removeOverdueAttempts(state, attemptNumbers, out);
}

void tick(TrafficState &state, TimePoint now, Actions &out)
{
    while (!state.timers.empty() && state.timers.top().at <= now) {
        const Timer timer = state.timers.top();
        state.timers.pop();
        runTimer(state, timer, now, out);
    }
    if (now - state.refreshedAt >= refreshInterval) {
        state.refreshedAt = now;
        maintainConnections(state, now, out);
        refreshCapacity(state, now);
    }
    dispatchAll(state, now, out);
}

void stopAdmitting(TrafficState &state, TimePoint, Actions &out)
{
    state.stopping = true;
    for (const RequestNumber number : state.requests.numbers()) {
        if (state.requests.find(number)->queued) {
            failRequest(state, number, Reason::Leaving, Milliseconds{100}, out);
        }
    }
}

}  // namespace poplarstream::traffic
