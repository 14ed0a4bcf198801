#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/state.hpp"  // for TrafficState, Minion

namespace poplarstream::traffic {

// The share of the minion's connections that this entry host may use.
std::uint32_t maxConnections(const TrafficState &state, const Minion &minion);

// Returns whether one more request may be sent to the minion now.
bool hasCapacity(const TrafficState &state, const Minion &minion, TimePoint now);

// Returns whether the last load report is recent enough to be used.
bool hasFreshReport(const TrafficState &state, const Minion &minion, TimePoint now);

// Expected load of the minion with one more request, relative to its slots. Failures count as load,
// so that a minion that fails fast does not appear idle.
double loadScore(const TrafficState &state, const Minion &minion, TimePoint now);

// Records a load report from a connection that was opened at `openedAt`. A report without the
// leaving state clears that state only if the connection is newer than the last leaving report, or
// that report is old.
void recordLoadReport(Minion &minion, const LoadReport &report, TimePoint openedAt, TimePoint now);

// Records a response after `milliseconds` of service time; `mean` is the service's mean.
void recordSuccess(TrafficState &state, MinionIndex index, double milliseconds, double mean,
                   TimePoint now);
void recordRefusal(TrafficState &state, MinionIndex index, TimePoint now);
void recordFailure(TrafficState &state, MinionIndex index, TimePoint now);

// Records an overdue request: decreases the limit without counting a failure.
void recordOverdue(Minion &minion, TimePoint now);

// Records a successful probe. After its ejection time, an ejected minion becomes half-open and gets
// one request at a time.
void recordHealthyProbe(Minion &minion, TimePoint now);

}  // namespace poplarstream::traffic
