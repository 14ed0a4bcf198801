#pragma once

#include <optional>  // for optional

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds
#include "poplarstream/traffic/state.hpp"  // for TrafficState, Service, FlowKey

namespace poplarstream::traffic {

// The weights that the fair queues of `state` use.
FairWeights fairWeights(const TrafficState &state);

// Expected milliseconds until a request that joins the flow now is dispatched: the length of the
// flow's queue over its guaranteed rate at first, and over its measured rate as picks are counted.
double expectedWait(const TrafficState &state, const Service &service, FlowKey key, TimePoint now);

struct Refusal
{
    Reason reason = Reason::DeadlineTooClose;
    Milliseconds retryAfter{0};
};

// Decides whether the request may join its queue; takes a token of the tenant's quota if so.
std::optional<Refusal> checkAdmission(TrafficState &state, const Request &request,
                                      ServiceIndex service, FlowKey key, TimePoint now);

// Whether a request of the service dispatched now would probably end after `deadline`.
bool wouldMissDeadline(const Service &service, TimePoint deadline, TimePoint now);

// Moves the request into or out of its queue and keeps the counts and sizes.
void enqueue(TrafficState &state, RequestNumber number, bool front, TimePoint now);
void dequeue(TrafficState &state, RequestNumber number);

// Keeps the counts and sizes for a request that pickRequest() has taken.
void recordDequeued(TrafficState &state, PendingRequest &request);

}  // namespace poplarstream::traffic
