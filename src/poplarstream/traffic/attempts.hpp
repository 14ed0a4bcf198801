#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/state.hpp"  // for TrafficState, MinionIndex

namespace poplarstream::traffic {

// Starts an attempt for a dequeued request. `charged` is the cost charged for it in the fair queue.
void startAttempt(TrafficState &state, RequestNumber number, MinionIndex minion, double charged,
                  TimePoint now, Actions &out);

// Sends the request of an attempt whose connection is established.
void sendAttempt(TrafficState &state, AttemptNumber number, TimePoint now, Actions &out);

enum class AttemptFailure {
    NotSent,  // no byte was sent
    Refused,  // the minion guarantees that it did not start the request
    Lost,  // bytes were sent and no response can arrive
};

// Ends a failed attempt, and retries or fails its request.
void failAttempt(TrafficState &state, AttemptNumber number, AttemptFailure failure, TimePoint now,
                 Actions &out);

// Removes the attempt from the in-flight counts and deletes it. Leaves its connection alone.
void releaseAttempt(TrafficState &state, AttemptNumber number);

// Returns whether the request may be retried after `failure`, and consumes a retry token if needed.
bool tryConsumeRetry(TrafficState &state, const PendingRequest &request, AttemptFailure failure,
                     TimePoint now);

// Ends the request with verdict MayHaveRun if an attempt may have run, else NotRun.
void failRequest(TrafficState &state, RequestNumber number, Reason reason, Milliseconds retryAfter,
                 Actions &out);

// Deletes the overdue attempts of an ended request and closes their connections.
void removeOverdueAttempts(TrafficState &state, const AttemptList &attemptNumbers, Actions &out);

// Handle the timers of a request and of an attempt.
void onDeadlineTimer(TrafficState &state, RequestNumber number, TimePoint now, Actions &out);
void onHedgeTimer(TrafficState &state, AttemptNumber number, TimePoint now, Actions &out);
void onOverdueTimer(TrafficState &state, AttemptNumber number, TimePoint now, Actions &out);

}  // namespace poplarstream::traffic
