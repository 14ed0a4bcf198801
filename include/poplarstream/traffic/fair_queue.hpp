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

// Start-time fair queueing (Goyal, Vin and Cheng, 1996) in two levels: urgency levels of a service,
// and tenants of an urgency level. Each backlogged child gets service in proportion to its weight,
// measured in milliseconds of service time; what a child does not use goes to the others at once,
// and a child that comes back starts at the present virtual time, without credit for the past.

// Virtual start and finish of the next request of a child. `debt` is measured minus charged cost
// of earlier requests, charged with the next one.
struct FairTag
{
    double start = 0;
    double finish = 0;
    double debt = 0;
};

// Charges `cost` from the tag's start; the debt is charged with it. The finish never precedes the
// start: a credit must not let a child overtake the past.
void chargeTag(FairTag &tag, double cost, double weight);

struct TenantFlow
{
    FairTag tag;
    boost::container::deque<RequestNumber> waiting;
    std::uint64_t bytes = 0;  // kept by the admission
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
    std::vector<TenantFlow> flows;  // by tenant index, made at the first request
    std::vector<HeapItem> heap;  // binary heap of backlogged flows, least start first
    double virtualTime = 0;
    double activeWeight = 0;  // of the flows with requests
    std::uint32_t count = 0;
};

struct FairQueue
{
    FairTag tag;  // among the services that share a pool
    std::array<UrgencyQueue, urgencyLevels> levels;
    double virtualTime = 0;
    std::uint32_t count = 0;
};

// Where a request waits.
struct FlowKey
{
    std::uint8_t urgency = 0;
    std::uint32_t tenant = 0;
};

// Weights by urgency level and tenant index; all positive.
struct FairWeights
{
    const std::array<double, urgencyLevels> &urgency;
    const std::vector<double> &tenant;
};

// Appends a request, or puts it back in front for a retry.
void pushRequest(FairQueue &queue, FlowKey key, RequestNumber request, bool front,
                 const FairWeights &weights, TimePoint now);

struct QueuedRequest
{
    FlowKey key;
    RequestNumber request{};
};

// Takes the request whose turn it is and charges `cost` (expected service time in milliseconds).
std::optional<QueuedRequest> popRequest(FairQueue &queue, double cost, const FairWeights &weights,
                                        TimePoint now);

// The request that pickRequest() would take, or none.
RequestNumber peekRequest(FairQueue &queue);

// Charges or credits the difference between the measured and the charged cost of a request.
void adjustCost(FairQueue &queue, FlowKey key, double difference);

// Takes a request out of its queue. Returns whether it was there.
bool removeRequest(FairQueue &queue, FlowKey key, RequestNumber request,
                   const FairWeights &weights);

}  // namespace poplarstream::traffic
