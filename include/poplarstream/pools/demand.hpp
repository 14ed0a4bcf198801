#pragma once

#include <map>  // for map

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::pools {

// What the tasks of one service take or wait for.
struct Demand
{
    jobs::Resources running;
    jobs::Resources waiting;  // of tasks that could start now and still earn something
    int spreadAtLeast = 0;  // different workers that one step needs
};

std::map<ServiceId, Demand> demandByService(const engine::Engine &engine, TimePoint now);

// Machines of `capacity` that carry the demand.
int machinesFor(const Demand &demand, const jobs::Resources &capacity);

}  // namespace poplarstream::pools
