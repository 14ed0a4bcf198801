#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/state.hpp"  // for TrafficState, Connection

namespace poplarstream::traffic {

// Applies an event to the connection's life cycle. Throws std::logic_error for an invalid one: the
// table and the code would then disagree.
void applyEvent(TrafficState &state, ConnectionNumber number, ConnectionEvent event, TimePoint now);

ConnectionNumber openConnection(TrafficState &state, MinionIndex minion, TimePoint now,
                                Actions &out);

// Takes a usable idle connection of the minion, or opens one.
ConnectionNumber acquireConnection(TrafficState &state, MinionIndex minion, TimePoint now,
                                   Actions &out);

// Forgets the connection. `tell` appends CloseConnection; it is false when the connection has
// broken already.
void removeConnection(TrafficState &state, ConnectionNumber number, bool emitClose, Actions &out);

// An answer or a probe's answer was read, or the connection was opened: it is idle and usable.
void becomeIdle(TrafficState &state, ConnectionNumber number, ConnectionEvent event, TimePoint now);

void sendProbe(TrafficState &state, ConnectionNumber number, TimePoint now, Actions &out);

// Something on the minion went silent. Its idle connections are probed before they are used again,
// and a new connection is opened when none is left.
void revalidateConnections(TrafficState &state, MinionIndex minion, TimePoint now, Actions &out);

// Probes idle connections that were not heard for the probe interval, closes those whose probe got
// no answer, and opens a connection to each wanted minion that has none.
void maintainConnections(TrafficState &state, TimePoint now, Actions &out);

}  // namespace poplarstream::traffic
