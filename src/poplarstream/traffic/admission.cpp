#include "admission.hpp"

#include <algorithm>  // for min, max
#include <cmath>  // for ceil

namespace poplarstream::traffic {

namespace {

// Dispatches after which the measured rate of a flow fully replaces the guaranteed one.
constexpr double popsForMeasuredRate = 16;
// While no minion is usable, requests are queued this long for a reconnection before being refused.
constexpr Milliseconds reconnectTimeout{2000};

const TenantFlow *findFlow(const Service &service, FlowKey key)
{
    const auto &flows = service.queue.levels[key.urgency].flows;
    return key.tenant < flows.size() ? &flows[key.tenant] : nullptr;
}

// The fraction of the service's capacity guaranteed to the flow among the backlogged flows.
double guaranteedShare(const TrafficState &state, const Service &service, FlowKey key,
                       bool isActive)
{
    const auto &weights = state.policy.urgencyWeights;
    double levels = 0;
    for (std::size_t i = 0; i < urgencyLevels; ++i) {
        levels += service.queue.levels[i].count > 0 || i == key.urgency ? weights[i] : 0;
    }
    const double weight = state.tenantWeights[key.tenant];
    const double active = std::max(0.0, service.queue.levels[key.urgency].activeWeight);
    return weights[key.urgency] / levels * weight / (active + (isActive ? 0 : weight));
}

// Varies Retry-After by a quarter, so that refused callers do not retry at the same time.
Milliseconds addJitter(TrafficState &state, double milliseconds)
{
    const double jittered = milliseconds * (0.75 + 0.5 * state.random.unit());
    return Milliseconds{static_cast<std::int64_t>(std::ceil(std::clamp(jittered, 50.0, 60000.0)))};
}

double quotaRate(const TrafficState &state, const Tenant &tenant)
{
    return tenant.settings.quota / std::max(1U, state.livePeers);
}

// Dynamic thresholds (Choudhury and Hahne, 1998): the queue of a flow may be as long as the free
// capacity, so that one overloaded flow occupies at most half and a new flow can always enqueue.
bool hasQueueCapacity(const TrafficState &state, const TenantFlow *flow, std::uint64_t bytes)
{
    const PolicySettings &policy = state.policy;
    if (state.queued >= policy.maxQueued || state.requests.isFull()
        || state.queuedBytes + bytes > policy.maxQueuedBytes) {
        return false;
    }
    const std::size_t flowRequests = flow == nullptr ? 0 : flow->waiting.size();
    const std::uint64_t flowBytes = flow == nullptr ? 0 : flow->bytes;
    return flowRequests < policy.maxQueued - state.queued
           && flowBytes + bytes <= policy.maxQueuedBytes - state.queuedBytes;
}

}  // namespace

FairWeights fairWeights(const TrafficState &state)
{
    return {state.policy.urgencyWeights, state.tenantWeights};
}

double expectedWait(const TrafficState &state, const Service &service, FlowKey key, TimePoint now)
{
    const TenantFlow *flow = findFlow(service, key);
    const bool isActive = flow != nullptr && !flow->waiting.empty();
    if (service.queue.count == 0) {
        return 0;
    }
    const double ahead = isActive ? static_cast<double>(flow->waiting.size()) : 0;
    const double share = guaranteedShare(state, service, key, isActive);
    const double guaranteed =
            (ahead + 0.5) * service.serviceTime.mean / std::max(1e-6, service.capacity * share);
    if (!isActive || flow->popCount == 0) {
        return guaranteed;
    }
    // The mean interval is too optimistic for a flow without recent dispatches.
    const auto sinceLastPop = static_cast<double>((now - flow->lastPopAt).count());
    const double measured = (ahead + 0.5) * std::max(flow->meanPopIntervalMs, sinceLastPop / 4);
    const double confidence = std::min(1.0, flow->popCount / popsForMeasuredRate);
    return confidence * measured + (1 - confidence) * guaranteed;
}

bool wouldMissDeadline(const Service &service, TimePoint deadline, TimePoint now)
{
    return static_cast<double>((deadline - now).count()) < service.serviceTime.mean;
}

std::optional<Refusal> checkAdmission(TrafficState &state, const Request &request,
                                      ServiceIndex index, FlowKey key, TimePoint now)
{
    const Service &service = state.services[index];
    Tenant &tenant = state.tenants[key.tenant];
    if (state.stopping) {
        return Refusal{Reason::Leaving, addJitter(state, 100)};
    }
    const double rate = quotaRate(state, tenant);
    if (rate > 0) {
        const double burst = std::max(3.0, rate * state.policy.quotaBurstSeconds);
        tenant.quota.refill(rate, burst, now);
        if (tenant.quota.tokens < 1) {
            return Refusal{Reason::Quota,
                           addJitter(state, 1000 * (1 - tenant.quota.tokens) / rate)};
        }
    }
    if (service.ownZoneMinions.empty() && service.remoteMinions.empty()) {
        return Refusal{Reason::NoMinion, addJitter(state, 5000)};
    }
    if (!service.usable && now - service.lastUsableAt > reconnectTimeout) {
        return Refusal{Reason::NoMinion, addJitter(state, 1000)};
    }
    if (!hasQueueCapacity(state, findFlow(service, key), request.bytes)) {
        return Refusal{Reason::QueueFull, addJitter(state, service.serviceTime.mean * 4)};
    }
    const double wait = expectedWait(state, service, key, now);
    const double work =
            service.serviceTime.mean + (wait > 0 ? 2 * service.serviceTime.deviation : 0);
    const auto slack = static_cast<double>((request.deadline - now).count());
    if (slack < wait + work) {
        return Refusal{Reason::DeadlineTooClose, addJitter(state, wait + work - slack)};
    }
    if (rate > 0) {
        tenant.quota.tryConsume();
    }
    return std::nullopt;
}

void enqueue(TrafficState &state, RequestNumber number, bool front, TimePoint now)
{
    PendingRequest &request = *state.requests.find(number);
    Service &service = state.services[request.service];
    if (service.queue.count == 0) {
        double virtualTime = service.queue.tag.finish;
        for (const PoolIndex pool : service.pools) {
            virtualTime = std::max(virtualTime, state.pools[pool].virtualTime);
        }
        service.queue.tag.start = virtualTime;
    }
    pushRequest(service.queue, request.key, number, front, fairWeights(state), now);
    service.queue.levels[request.key.urgency].flows[request.key.tenant].bytes += request.bytes;
    request.queued = true;
    ++state.queued;
    state.queuedBytes += request.bytes;
}

void recordDequeued(TrafficState &state, PendingRequest &request)
{
    Service &service = state.services[request.service];
    service.queue.levels[request.key.urgency].flows[request.key.tenant].bytes -= request.bytes;
    request.queued = false;
    --state.queued;
    state.queuedBytes -= request.bytes;
}

void dequeue(TrafficState &state, RequestNumber number)
{
    PendingRequest &request = *state.requests.find(number);
    Service &service = state.services[request.service];
    if (removeRequest(service.queue, request.key, number, fairWeights(state))) {
        recordDequeued(state, request);
    }
}

}  // namespace poplarstream::traffic
