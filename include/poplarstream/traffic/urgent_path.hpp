#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/messages.hpp"  // for Request, Actions, Response, ConnectionNumber
#include "poplarstream/traffic/settings.hpp"  // for TrafficSettings
#include "poplarstream/traffic/state.hpp"  // for TrafficState

namespace poplarstream::traffic {

// The commands of the urgent path. Each changes `state` and appends to `out` what the caller has to
// do, in order. Every admitted request gets exactly one DeliverResponse or FailRequest. Call them
// from one thread, with a time that never decreases.

// Puts settings in force. Queues, limits and connections of everything that remains are kept.
// Minions that are no longer listed get nothing new; their connections close when they are idle.
// Call it for each new configuration, and when membership or the number of live peers changes.
void configure(TrafficState &state, const TrafficSettings &settings, TimePoint now, Actions &out);

// Takes a request. The outcome is in `out`: a Dispatch (after an OpenConnection where one has to be
// opened first), a FailRequest with verdict NotRun, or nothing while the request is queued.
RequestNumber admit(TrafficState &state, const Request &request, TimePoint now, Actions &out);

// The connection is open and can carry requests.
void onConnected(TrafficState &state, ConnectionNumber connection, TimePoint now, Actions &out);

// The connection could not be opened or broke. `bytesSent` says whether any byte of the request in
// flight may have been handed to the operating system; when unsure, pass true.
void onConnectionFailure(TrafficState &state, ConnectionNumber connection, bool bytesSent,
                         TimePoint now, Actions &out);

// A complete answer arrived on `connection`. At most one DeliverResponse is appended, which may
// name another request than the one sent on this connection; without one, the answer is late and is
// dropped.
void onResponse(TrafficState &state, ConnectionNumber connection, const Response &response,
                TimePoint now, Actions &out);

// `GET /health` was answered. `healthy` is whether the status was 200.
void onProbeResponse(TrafficState &state, ConnectionNumber connection, bool healthy,
                     const LoadReport &load, TimePoint now, Actions &out);

// Membership has evidence that a minion leaves, or that it stays. A leaving one gets nothing new
// from now on; one that stays still gets nothing while its own answers carry the mark.
void onLeaving(TrafficState &state, const MinionId &minion, bool isLeaving);

// The caller has gone away. A queued request is forgotten; one in flight runs on and its answer is
// dropped.
void onCallerDisconnected(TrafficState &state, RequestNumber request, Actions &out);

// Time passes: expiries, probes, hedges, spill, reopened connections. Call it every 10 ms.
void tick(TrafficState &state, TimePoint now, Actions &out);

// Refuses all queued requests (verdict NotRun) and everything admitted later. Requests in flight
// run on; the process may stop when isIdle() of state_view.hpp holds.
void stopAdmitting(TrafficState &state, TimePoint now, Actions &out);

}  // namespace poplarstream::traffic
