#pragma once

#include <optional>  // for optional

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds
#include "poplarstream/traffic/state.hpp"  // for TrafficState, Service, FlowKey

namespace poplarstream::traffic {

// Returns the weights for the fair queues of `state`.
FairWeights fairWeights(const TrafficState &state);

// Estimates the queueing time of a new request in milliseconds: the queue length of its flow
// divided by the guaranteed rate, which gives way to the measured rate as requests are dispatched.
double expectedWait(const TrafficState &state, const Service &service, FlowKey key, TimePoint now);

struct Refusal
{
    Reason reason = Reason::DeadlineTooClose;
    Milliseconds retryAfter{0};
};

// Decides whether to admit the request. Consumes a quota token of the tenant if admitted.
std::optional<Refusal> checkAdmission(TrafficState &state, const Request &request,
                                      ServiceIndex service, FlowKey key, TimePoint now);

// Returns whether a request of the service dispatched now would probably miss `deadline`.
bool wouldMissDeadline(const Service &service, TimePoint deadline, TimePoint now);

// Add the request to its queue or remove it, and update the queue totals.
void enqueue(TrafficState &state, RequestNumber number, bool front, TimePoint now);
void dequeue(TrafficState &state, RequestNumber number);

// Updates the queue totals for a request that popRequest() has returned.
void recordDequeued(TrafficState &state, PendingRequest &request);

}  // namespace poplarstream::traffic
