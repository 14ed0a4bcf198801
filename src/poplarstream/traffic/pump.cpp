#include "pump.hpp"

#include <algorithm>  // for max
#include <optional>  // for optional

#include "admission.hpp"  // for fairWeights, isTooLate, notePicked
#include "attempts.hpp"  // for startAttempt, finishRequest
#include "minion_health.hpp"  // for hasRoom
#include "routing.hpp"  // for selectOwn, selectRemote, fitsRemote

namespace poplarstream::traffic {

namespace {

// The request whose turn it is. Requests that would end too late are finished instead: they would
// use a slot in vain.
PendingRequest *headInTime(TrafficState &state, Service &service, TimePoint now, Actions &out)
{
    while (service.queue.count > 0) {
        const RequestNumber number = peekRequest(service.queue);
        PendingRequest *request = state.requests.find(number);
        if (!isTooLate(service, request->deadline, now)) {
            return request;
        }
        finishRequest(state, number, Reason::DeadlinePassed, Milliseconds{0}, out);
    }
    return nullptr;
}

// The service of the minion's pool whose turn it is and whose head may go to this minion.
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
        const PendingRequest *head = headInTime(state, service, now, out);
        if (head != nullptr && (minion.own || fitsRemote(state, *head, minion, now))) {
            best = index;
        }
    }
    return best;
}

bool pumpOne(TrafficState &state, MinionIndex index, TimePoint now, Actions &out)
{
    const Minion &minion = state.minions[index];
    if (!hasRoom(state, minion, now)) {
        return false;
    }
    const auto chosen = nextService(state, minion, now, out);
    if (!chosen) {
        return false;
    }
    Service &service = state.services[*chosen];
    const double cost = std::max(0.25, service.time.mean);
    const auto picked = pickRequest(service.queue, cost, fairWeights(state), now);
    notePicked(state, *state.requests.find(picked->request));
    Pool &pool = state.pools[minion.pool];
    pool.virtualTime = std::max(pool.virtualTime, service.queue.tag.start);
    chargeTag(service.queue.tag, cost, service.settings.weight);
    service.queue.tag.start = service.queue.tag.finish;
    startAttempt(state, picked->request, index, cost, now, out);
    return true;
}

}  // namespace

void pumpMinion(TrafficState &state, MinionIndex minion, TimePoint now, Actions &out)
{
    while (pumpOne(state, minion, now, out)) {}
}

void pumpService(TrafficState &state, ServiceIndex index, TimePoint now, Actions &out)
{
    Service &service = state.services[index];
    while (const PendingRequest *head = headInTime(state, service, now, out)) {
        constexpr MinionIndex none = ~0U;
        const MinionIndex except = head->attempts > 0 ? head->lastMinion : none;
        auto minion = selectOwn(state, service, except, now);
        if (!minion) {
            minion = selectRemote(state, service, *head, except, now);
        }
        if (!minion && except != none) {
            minion = selectOwn(state, service, none, now);
        }
        if (!minion || !pumpOne(state, *minion, now, out)) {
            return;
        }
    }
}

void pumpAll(TrafficState &state, TimePoint now, Actions &out)
{
    for (ServiceIndex index = 0; index < state.services.size(); ++index) {
        if (state.services[index].queue.count > 0) {
            pumpService(state, index, now, out);
        }
    }
}

}  // namespace poplarstream::traffic
