#pragma once

#include <map>  // for map

#include "poplarstream/engine/state.hpp"  // for Engine
#include "poplarstream/pools/forecast.hpp"  // for Load

namespace poplarstream::pools {

// Resources that the tasks of one service use or wait for.
struct Demand
{
    jobs::Resources running;
    jobs::Resources longRunning;  // part of `running`: tasks that run until they are cancelled
    jobs::Resources waiting;  // tasks that could start now and still finish in time
    jobs::Resources late;  // tasks that could start now, will be late, and still earn something
    jobs::Resources unplaced;  // long-running tasks that could start now but found no worker
    jobs::Resources largestLate;  // of each, the most that a waiting task of a late job needs
    int minWorkers = 0;  // distinct workers that the anti-affinity of one step needs
};

std::map<ServiceId, Demand> demandByService(const engine::Engine &engine, TimePoint now);

// The number of machines of `capacity` needed for `total`.
int machinesFor(const jobs::Resources &total, const jobs::Resources &capacity);

// The number of machines of `capacity` needed for the demand. `available` machines accept tasks
// now. Tasks that will be late count only if `includeLate` is set, but one that takes most of a
// machine gets another one: it may find no worker with that much room for as long as smaller tasks
// arrive.
int machinesFor(const Demand &demand, const jobs::Resources &capacity, int available,
                bool includeLate);

// The number of machines of `capacity` needed for the long-running tasks and the expected load.
int machinesFor(const Demand &demand, const Load &expected, const jobs::Resources &capacity);

}  // namespace poplarstream::pools
