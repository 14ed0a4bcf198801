#pragma once

#include <optional>  // for optional

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/state.hpp"  // for TrafficState, MinionIndex

namespace poplarstream::traffic {

// A minion of the own zone with room: the better of two random ones, or the first with room after a
// random position when neither has any. `except` is never returned.
std::optional<MinionIndex> selectOwnZoneMinion(TrafficState &state, const Service &service,
                                               MinionIndex excluded, TimePoint now);

// A minion of another zone that fits the request, in the nearest zones first; the better of two.
std::optional<MinionIndex> selectRemoteMinion(TrafficState &state, const Service &service,
                                              const PendingRequest &request, MinionIndex excluded,
                                              TimePoint now);

// Whether `minion` of another zone may take the request: it reports room, or the request has waited
// for long and nothing from here is in flight at the minion.
bool mayDispatchRemote(const TrafficState &state, const PendingRequest &request,
                       const Minion &minion, TimePoint now);

// Whether a queued request may leave the own zone at the cost of `distance`: once it has waited as
// long as the way takes, once its deadline is close, or when the own zone has no minion.
bool mayLeaveZone(const TrafficState &state, const PendingRequest &request,
                  Milliseconds roundTripTime, TimePoint now);

// Recomputes the candidates of all services: all minions of the own zone, or with many a stable
// subset by rendezvous hashing, and a smaller subset of each other zone.
void refreshCandidates(TrafficState &state);

// Recomputes how many requests in flight each service may hold: the limits of its usable minions,
// shared by weight with the other backlogged services of each pool.
void refreshCapacity(TrafficState &state, TimePoint now);

}  // namespace poplarstream::traffic
