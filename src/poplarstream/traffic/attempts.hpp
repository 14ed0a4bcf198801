#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/state.hpp"  // for TrafficState, MinionIndex

namespace poplarstream::traffic {

// Sends the request, which is in no queue, to the minion. `charged` is the cost charged for it.
void startAttempt(TrafficState &state, RequestNumber number, MinionIndex minion, double charged,
                  TimePoint now, Actions &out);

// The connection of a bound attempt has opened: the request is sent now.
void sendAttempt(TrafficState &state, AttemptNumber number, TimePoint now, Actions &out);

enum class AttemptFailure {
    NotSent,  // no byte has left
    Refused,  // the minion proved that it has not started the work
    Lost,  // bytes were sent and no answer can come any more
};

// Ends an attempt that brought no answer, and retries or finishes its request.
void failAttempt(TrafficState &state, AttemptNumber number, AttemptFailure end, TimePoint now,
                 Actions &out);

// Gives up the attempt's place at its minion and forgets it. Its connection is not touched.
void releaseAttempt(TrafficState &state, AttemptNumber number);

// Whether the request may be tried again after an attempt ended that way; takes the token if so.
bool tryConsumeRetry(TrafficState &state, const PendingRequest &request, AttemptFailure end,
                     TimePoint now);

// Ends the request with the true verdict: MayHaveRun if an attempt was sent and never answered.
void failRequest(TrafficState &state, RequestNumber number, Reason reason, Milliseconds retryAfter,
                 Actions &out);

// Closes the connections of those attempts that are overdue, once their request has ended.
void removeOverdueAttempts(TrafficState &state, const AttemptList &attemptNumbers, Actions &out);

// The timers of a request and of an attempt.
void onDeadlineTimer(TrafficState &state, RequestNumber number, TimePoint now, Actions &out);
void onHedgeTimer(TrafficState &state, AttemptNumber number, TimePoint now, Actions &out);
void onOverdueTimer(TrafficState &state, AttemptNumber number, TimePoint now, Actions &out);

}  // namespace poplarstream::traffic
