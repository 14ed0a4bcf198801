#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/messages.hpp"  // for Request, Actions, Response, ConnectionNumber
#include "poplarstream/traffic/settings.hpp"  // for TrafficSettings
#include "poplarstream/traffic/state.hpp"  // for TrafficState

namespace poplarstream::traffic {

// The state machine of the urgent request path. Each function updates `state` and appends to `out`
// the actions to perform, in order. Every admitted request gets exactly one DeliverResponse or
// FailRequest. Call the functions from one thread, with a monotonic time.

// Applies new settings and keeps the queues, limits and connections of unchanged elements. Minions
// that are no longer configured get no new requests, and their connections close when idle. Call it
// for each new configuration and when membership or the number of live peers changes.
void configure(TrafficState &state, const TrafficSettings &settings, TimePoint now, Actions &out);

// Accepts or refuses a request. `out` receives a Dispatch, an OpenConnection if the request has to
// wait for a new connection, a FailRequest with verdict NotRun, or nothing if it is queued.
RequestNumber admit(TrafficState &state, const Request &request, TimePoint now, Actions &out);

// The connection was established.
void onConnected(TrafficState &state, ConnectionNumber connection, TimePoint now, Actions &out);

// The connection could not be established or broke. `bytesSent` tells whether any byte of the
// request in flight may have been handed to the operating system; pass true when unsure.
void onConnectionFailure(TrafficState &state, ConnectionNumber connection, bool bytesSent,
                         TimePoint now, Actions &out);

// A complete response arrived on `connection`. Appends at most one DeliverResponse, possibly for a
// request that was sent on another connection. If there is none, drop the response.
void onResponse(TrafficState &state, ConnectionNumber connection, const Response &response,
                TimePoint now, Actions &out);

// A response to `GET /health` arrived. `healthy` tells whether the status was 200.
void onProbeResponse(TrafficState &state, ConnectionNumber connection, bool healthy,
                     const LoadReport &load, TimePoint now, Actions &out);

// Membership reports whether a minion is leaving. A leaving minion gets no new requests. `isLeaving
// == false` does not override a leaving state that the minion reports itself.
void onLeaving(TrafficState &state, const MinionId &minion, bool isLeaving);

// The caller disconnected. A queued request is removed; one in flight continues, and its response
// is dropped.
void onCallerDisconnected(TrafficState &state, RequestNumber request, Actions &out);

// Processes timers: deadlines, probes, hedges, cross-zone dispatch and reconnections. Call it every
// 10 ms.
void tick(TrafficState &state, TimePoint now, Actions &out);

// Fails all queued requests with verdict NotRun and refuses new ones. Requests in flight continue;
// the process may exit once isIdle() of state_view.hpp returns true.
void stopAdmitting(TrafficState &state, TimePoint now, Actions &out);

}  // namespace poplarstream::traffic
