#pragma once

#include <array>  // for array
#include <cstdint>  // for uint32_t, uint64_t
#include <optional>  // for optional
#include <vector>  // for vector

#include <boost/container/deque.hpp>  // for deque, which allocates nothing while it is empty

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/messages.hpp"  // for RequestNumber
#include "poplarstream/traffic/settings.hpp"  // for urgencyLevels

namespace poplarstream::traffic {

// Start-time fair queueing (Goyal, Vin and Cheng, 1996) on two levels: the urgency levels of a
// service and the tenants of an urgency level. Each backlogged child is served in proportion to its
// weight, measured in milliseconds of service time. Unused share goes to the other children
// immediately, and a child that becomes backlogged again starts at the current virtual time,
// without credit for its idle time.

// Start and finish tags of the next request of a child. `debt` is the measured minus the charged
// cost of earlier requests; it is charged with the next one.
struct FairTag
{
    double start = 0;
    double finish = 0;
    double debt = 0;
};

// Charges `cost` and the debt from the start tag. The finish tag never precedes the start tag, so
// that a credit cannot move a child back in virtual time.
void chargeTag(FairTag &tag, double cost, double weight);

struct TenantFlow
{
    FairTag tag;
    boost::container::deque<RequestNumber> waiting;
    std::uint64_t bytes = 0;  // maintained by admission.cpp
    bool inHeap = false;
    std::uint32_t popCount = 0;  // since the flow became backlogged
    double meanPopIntervalMs = 0;  // while backlogged
    TimePoint lastPopAt{};
};

struct HeapItem
{
    double start = 0;
    std::uint32_t tenant = 0;
};

struct UrgencyQueue
{
    FairTag tag;
    std::vector<TenantFlow> flows;  // by tenant index; allocated at the first request
    std::vector<HeapItem> heap;  // min-heap of backlogged flows by start tag
    double virtualTime = 0;
    double activeWeight = 0;  // of the backlogged flows
    std::uint32_t count = 0;
};

struct FairQueue
{
    FairTag tag;  // among the services that share a pool
    std::array<UrgencyQueue, urgencyLevels> levels;
    double virtualTime = 0;
    std::uint32_t count = 0;
};

// The flow that a request is queued in.
struct FlowKey
{
    std::uint8_t urgency = 0;
    std::uint32_t tenant = 0;
};

// Weights by urgency level and by tenant index; all positive.
struct FairWeights
{
    const std::array<double, urgencyLevels> &urgency;
    const std::vector<double> &tenant;
};

// Appends a request, or prepends it for a retry.
void pushRequest(FairQueue &queue, FlowKey key, RequestNumber request, bool front,
                 const FairWeights &weights, TimePoint now);

struct QueuedRequest
{
    FlowKey key;
    RequestNumber request{};
};

// Removes the next request in fair order and charges `cost`, its expected service time in
// milliseconds.
std::optional<QueuedRequest> popRequest(FairQueue &queue, double cost, const FairWeights &weights,
                                        TimePoint now);

// Returns the request that popRequest() would remove, or 0.
RequestNumber peekRequest(FairQueue &queue);

// Charges (or credits, if negative) the measured minus the charged cost of a request.
void adjustCost(FairQueue &queue, FlowKey key, double difference);

// Removes a request from its queue. Returns whether it was queued.
bool removeRequest(FairQueue &queue, FlowKey key, RequestNumber request,
                   const FairWeights &weights);

}  // namespace poplarstream::traffic
