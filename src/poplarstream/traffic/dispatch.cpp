#include "dispatch.hpp"

#include <algorithm>  // for max
#include <optional>  // for optional

#include "admission.hpp"  // for fairWeights, wouldMissDeadline, recordDequeued
#include "attempts.hpp"  // for startAttempt, failRequest
#include "minion_health.hpp"  // for hasCapacity
#include "routing.hpp"  // for selectOwnZoneMinion, selectRemoteMinion, mayDispatchRemote

namespace poplarstream::traffic {

namespace {

// Returns the next request in fair order. Fails requests that would miss their deadline, since they
// would occupy a slot for nothing.
PendingRequest *headBeforeDeadline(TrafficState &state, Service &service, TimePoint now,
                                   Actions &out)
{
    while (service.queue.count > 0) {
        const RequestNumber number = peekRequest(service.queue);
        PendingRequest *request = state.requests.find(number);
        if (!wouldMissDeadline(service, request->deadline, now)) {
            return request;
        }
        failRequest(state, number, Reason::DeadlinePassed, Milliseconds{0}, out);
    }
    return nullptr;
}

// Returns the next service in fair order of the minion's pool whose head may run on the minion.
std::optional<ServiceIndex> nextService(TrafficState &state, const Minion &minion, TimePoint now,
                                        Actions &out)
{
    std::optional<ServiceIndex> best;
    for (const ServiceIndex index : state.pools[minion.pool].services) {
        Service &service = state.services[index];
        if (service.queue.count == 0
            || (best && state.services[*best].queue.tag.start <= service.queue.tag.start)) {
            continue;
        }
        const PendingRequest *head = headBeforeDeadline(state, service, now, out);
        if (head != nullptr && (minion.inOwnZone || mayDispatchRemote(state, *head, minion, now))) {
            best = index;
        }
    }
    return best;
}

bool dispatchOne(TrafficState &state, MinionIndex index, TimePoint now, Actions &out)
{
    const Minion &minion = state.minions[index];
    if (!hasCapacity(state, minion, now)) {
        return false;
    }
    const auto chosen = nextService(state, minion, now, out);
    if (!chosen) {
        return false;
    }
    Service &service = state.services[*chosen];
    const double cost = std::max(0.25, service.serviceTime.mean);
    const auto popped = popRequest(service.queue, cost, fairWeights(state), now);
    recordDequeued(state, *state.requests.find(popped->request));
    Pool &pool = state.pools[minion.pool];
    pool.virtualTime = std::max(pool.virtualTime, service.queue.tag.start);
    chargeTag(service.queue.tag, cost, service.settings.weight);
    service.queue.tag.start = service.queue.tag.finish;
    startAttempt(state, popped->request, index, cost, now, out);
    return true;
}

}  // namespace

void dispatchToMinion(TrafficState &state, MinionIndex minion, TimePoint now, Actions &out)
{
    while (dispatchOne(state, minion, now, out)) {}
}

void dispatchFromService(TrafficState &state, ServiceIndex index, TimePoint now, Actions &out)
{
    Service &service = state.services[index];
    while (const PendingRequest *head = headBeforeDeadline(state, service, now, out)) {
        constexpr MinionIndex none = ~0U;
        const MinionIndex excluded = head->attemptCount > 0 ? head->lastMinion : none;
        auto minion = selectOwnZoneMinion(state, service, excluded, now);
        if (!minion) {
            minion = selectRemoteMinion(state, service, *head, excluded, now);
        }
        if (!minion && excluded != none) {
            minion = selectOwnZoneMinion(state, service, none, now);
        }
        if (!minion || !dispatchOne(state, *minion, now, out)) {
            return;
        }
    }
}

void dispatchAll(TrafficState &state, TimePoint now, Actions &out)
{
    for (ServiceIndex index = 0; index < state.services.size(); ++index) {
        if (state.services[index].queue.count > 0) {
            dispatchFromService(state, index, now, out);
        }
    }
}

}  // namespace poplarstream::traffic
