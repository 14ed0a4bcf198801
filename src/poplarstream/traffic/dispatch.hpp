#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/state.hpp"  // for TrafficState, ServiceIndex, MinionIndex

namespace poplarstream::traffic {

// Dispatch queued requests while there is capacity: dispatchToMinion() to one minion from the
// services of its pool, in fair order; dispatchFromService() from one service's queue to its
// minions; dispatchAll() from every backlogged service.
void dispatchToMinion(TrafficState &state, MinionIndex minion, TimePoint now, Actions &out);
void dispatchFromService(TrafficState &state, ServiceIndex service, TimePoint now, Actions &out);
void dispatchAll(TrafficState &state, TimePoint now, Actions &out);

}  // namespace poplarstream::traffic
