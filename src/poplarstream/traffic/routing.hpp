#pragma once

#include <optional>  // for optional

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/state.hpp"  // for TrafficState, MinionIndex

namespace poplarstream::traffic {

// Selects a minion of the own zone with free capacity: the less loaded of two random ones, or, if
// both are full, the first from a random position. Never returns `excluded`.
std::optional<MinionIndex> selectOwnZoneMinion(TrafficState &state, const Service &service,
                                               MinionIndex excluded, TimePoint now);

// Selects a minion of the nearest other zone that may run the request: the less loaded of two
// random ones.
std::optional<MinionIndex> selectRemoteMinion(TrafficState &state, const Service &service,
                                              const PendingRequest &request, MinionIndex excluded,
                                              TimePoint now);

// Returns whether `minion` of another zone may run the request: it reports free capacity, or the
// request has waited long and this entry host has none in flight at the minion.
bool mayDispatchRemote(const TrafficState &state, const PendingRequest &request,
                       const Minion &minion, TimePoint now);

// Returns whether a queued request may be sent to a zone at `roundTripTime`: it has waited that
// long, its deadline is near, or the own zone has no usable minion.
bool mayLeaveZone(const TrafficState &state, const PendingRequest &request,
                  Milliseconds roundTripTime, TimePoint now);

// Recomputes the candidates of all services: the minions of the own zone (in large zones a stable
// subset by rendezvous hashing) and a smaller subset of each other zone.
void refreshCandidates(TrafficState &state);

// Recomputes the number of requests in flight that each service may have: the limits of its usable
// minions, shared by weight with the other backlogged services of each pool.
void refreshCapacity(TrafficState &state, TimePoint now);

}  // namespace poplarstream::traffic
