#include "poplarstream/traffic/fair_queue.hpp"

#include <algorithm>  // for push_heap, pop_heap, find, max, clamp

namespace poplarstream::traffic {

namespace {

bool startsLater(const HeapItem &a, const HeapItem &b)
{
    return a.start != b.start ? a.start > b.start : a.tenant > b.tenant;
}

void pushHeap(UrgencyQueue &level, std::uint32_t tenant)
{
    TenantFlow &flow = level.flows[tenant];
    level.heap.push_back({flow.tag.start, tenant});
    std::push_heap(level.heap.begin(), level.heap.end(), startsLater);
    flow.inHeap = true;
}

HeapItem popHeap(UrgencyQueue &level)
{
    std::pop_heap(level.heap.begin(), level.heap.end(), startsLater);
    const HeapItem item = level.heap.back();
    level.heap.pop_back();
    level.flows[item.tenant].inHeap = false;
    return item;
}

UrgencyQueue *levelWithMinStart(FairQueue &queue)
{
    UrgencyQueue *best = nullptr;
    for (UrgencyQueue &level : queue.levels) {
        if (level.count > 0 && (best == nullptr || level.tag.start < best->tag.start)) {
            best = &level;
        }
    }
    return best;
}

// Discards heap items of flows that removeRequest() has emptied.
void dropEmptyFlows(UrgencyQueue &level)
{
    while (!level.heap.empty() && level.flows[level.heap.front().tenant].waiting.empty()) {
        popHeap(level);
    }
}

void recordPop(TenantFlow &flow, TimePoint now)
{
    const auto interval = static_cast<double>((now - flow.lastPopAt).count());
    ++flow.popCount;
    flow.meanPopIntervalMs +=
            (interval - flow.meanPopIntervalMs) / std::min<double>(flow.popCount, 16);
    flow.lastPopAt = now;
}

void activateLevel(FairQueue &queue, UrgencyQueue &level)
{
    level.tag.start = std::max(level.tag.finish, queue.virtualTime);
}

void activateFlow(UrgencyQueue &level, std::uint32_t tenant, double weight, TimePoint now)
{
    TenantFlow &flow = level.flows[tenant];
    level.activeWeight += weight;
    flow.popCount = 0;
    flow.meanPopIntervalMs = 0;
    flow.lastPopAt = now;
    if (!flow.inHeap) {
        flow.tag.start = std::max(flow.tag.finish, level.virtualTime);
        pushHeap(level, tenant);
    }
}

void deactivateFlow(UrgencyQueue &level, double weight)
{
    level.activeWeight = level.count == 0 ? 0 : level.activeWeight - weight;
}

}  // namespace

void chargeTag(FairTag &tag, double cost, double weight)
{
    tag.finish = tag.start + std::max(0.0, cost + tag.debt) / weight;
    tag.debt = std::min(0.0, cost + tag.debt);
}

void pushRequest(FairQueue &queue, FlowKey key, RequestNumber request, bool front,
                 const FairWeights &weights, TimePoint now)
{
    UrgencyQueue &level = queue.levels[key.urgency];
    if (level.flows.size() <= key.tenant) {
        level.flows.resize(weights.tenant.size());
    }
    if (level.count == 0) {
        activateLevel(queue, level);
    }
    ++queue.count;
    ++level.count;
    TenantFlow &flow = level.flows[key.tenant];
    if (flow.waiting.empty()) {
        activateFlow(level, key.tenant, weights.tenant[key.tenant], now);
    }
    if (front) {
        flow.waiting.push_front(request);
    } else {
        flow.waiting.push_back(request);
    }
}

std::optional<QueuedRequest> popRequest(FairQueue &queue, double cost, const FairWeights &weights,
                                        TimePoint now)
{
    UrgencyQueue *level = levelWithMinStart(queue);
    if (level == nullptr) {
        return std::nullopt;
    }
    dropEmptyFlows(*level);
    const std::uint32_t tenant = popHeap(*level).tenant;
    TenantFlow &flow = level->flows[tenant];
    const auto urgency = static_cast<std::uint8_t>(level - queue.levels.data());
    const QueuedRequest popped{{urgency, tenant}, flow.waiting.front()};
    flow.waiting.pop_front();
    recordPop(flow, now);
    --level->count;
    --queue.count;

    level->virtualTime = std::max(level->virtualTime, flow.tag.start);
    chargeTag(flow.tag, cost, weights.tenant[tenant]);
    queue.virtualTime = std::max(queue.virtualTime, level->tag.start);
    chargeTag(level->tag, cost, weights.urgency[urgency]);
    level->tag.start = level->tag.finish;
    if (flow.waiting.empty()) {
        deactivateFlow(*level, weights.tenant[tenant]);
    } else {
        flow.tag.start = flow.tag.finish;
        pushHeap(*level, tenant);
    }
    return popped;
}

RequestNumber peekRequest(FairQueue &queue)
{
    UrgencyQueue *level = levelWithMinStart(queue);
    if (level == nullptr) {
        return {};
    }
    dropEmptyFlows(*level);
    return level->flows[level->heap.front().tenant].waiting.front();
}

void adjustCost(FairQueue &queue, FlowKey key, double difference)
{
    UrgencyQueue &level = queue.levels[key.urgency];
    queue.tag.debt += difference;
    level.tag.debt += difference;
    if (key.tenant < level.flows.size()) {
        level.flows[key.tenant].tag.debt += difference;
    }
}

bool removeRequest(FairQueue &queue, FlowKey key, RequestNumber request, const FairWeights &weights)
{
    UrgencyQueue &level = queue.levels[key.urgency];
    if (key.tenant >= level.flows.size()) {
        return false;
    }
    auto &waiting = level.flows[key.tenant].waiting;
    const auto found = std::find(waiting.begin(), waiting.end(), request);
    if (found == waiting.end()) {
        return false;
    }
    waiting.erase(found);
    --level.count;
    --queue.count;
    if (waiting.empty()) {
        deactivateFlow(level, weights.tenant[key.tenant]);
    }
    return true;
}

}  // namespace poplarstream::traffic
