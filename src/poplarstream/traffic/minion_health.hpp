#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/state.hpp"  // for TrafficState, Minion

namespace poplarstream::traffic {

// The part of a minion's connections that this entry host may use.
std::uint32_t maxConnections(const TrafficState &state, const Minion &minion);

// Whether one more request may be sent to the minion now.
bool hasCapacity(const TrafficState &state, const Minion &minion, TimePoint now);

// Whether the last load report is recent enough to be used.
bool hasFreshReport(const TrafficState &state, const Minion &minion, TimePoint now);

// Expected load of the minion with one more request, over its slots; failures count as load, so
// that a minion that fails fast does not look idle.
double loadScore(const TrafficState &state, const Minion &minion, TimePoint now);

// A load report arrived on a connection that was opened at `openedAt`. A report without the leaving
// mark clears the mark only if the connection is newer than the mark or the mark is old.
void recordLoadReport(Minion &minion, const LoadReport &report, TimePoint openedAt, TimePoint now);

// An answer came `milliseconds` after the request was sent; `mean` is the service's mean time.
void recordSuccess(TrafficState &state, MinionIndex index, double milliseconds, double mean,
                   TimePoint now);
void recordRefusal(TrafficState &state, MinionIndex index, TimePoint now);
void recordFailure(TrafficState &state, MinionIndex index, TimePoint now);

// A request is overdue: the limit is cut without counting a failure.
void recordOverdue(Minion &minion, TimePoint now);

// A probe succeeded: an ejected minion whose time is over takes one request at a time on trial.
void recordHealthyProbe(Minion &minion, TimePoint now);

}  // namespace poplarstream::traffic
