#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/traffic/state.hpp"  // for TrafficState, ServiceIndex, MinionIndex

namespace poplarstream::traffic {

// Dispatches queued requests while there is room. pumpMinion() fills one minion from the services
// of its pool, in the order of their shares; pumpService() spreads one service's queue over its
// minions; pumpAll() does so for every service with a queue.
void dispatchToMinion(TrafficState &state, MinionIndex minion, TimePoint now, Actions &out);
void dispatchFromService(TrafficState &state, ServiceIndex service, TimePoint now, Actions &out);
void dispatchAll(TrafficState &state, TimePoint now, Actions &out);

}  // namespace poplarstream::traffic
