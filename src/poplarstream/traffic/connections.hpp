#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/state.hpp"  // for TrafficState, Connection

namespace poplarstream::traffic {

// Applies an event to the connection's life cycle. Throws std::logic_error if the event is not
// valid in the current state.
void applyEvent(TrafficState &state, ConnectionNumber number, ConnectionEvent event, TimePoint now);

ConnectionNumber openConnection(TrafficState &state, MinionIndex minion, TimePoint now,
                                Actions &out);

// Takes an idle connection of the minion, or opens a new one.
ConnectionNumber acquireConnection(TrafficState &state, MinionIndex minion, TimePoint now,
                                   Actions &out);

// Deletes the connection. `emitClose` appends CloseConnection; pass false for a connection that is
// already closed.
void removeConnection(TrafficState &state, ConnectionNumber number, bool emitClose, Actions &out);

// Makes a connection idle after `event`, the response to a request or a probe.
void becomeIdle(TrafficState &state, ConnectionNumber number, ConnectionEvent event, TimePoint now);

void sendProbe(TrafficState &state, ConnectionNumber number, TimePoint now, Actions &out);

// Called when a connection of the minion became unresponsive or failed. Probes its idle connections
// before they are reused, and opens a new one unless one is opening.
void revalidateConnections(TrafficState &state, MinionIndex minion, TimePoint now, Actions &out);

// Probes connections that were idle for the probe interval, closes those whose probe timed out, and
// opens a connection to each candidate minion that has none.
void maintainConnections(TrafficState &state, TimePoint now, Actions &out);

}  // namespace poplarstream::traffic
