#pragma once

#include <map>  // for map
#include <vector>  // for vector

#include "poplarstream/engine/state.hpp"  // for Engine, Worker

namespace poplarstream::engine {

// A worker that may get tasks, with what is left of its room.
struct Site
{
    Worker *worker = nullptr;
    jobs::Resources room;
    bool hostsLasting = false;  // a long-running task runs there
    bool hostsServing = false;  // a task with a latency target runs there
    bool hostsFillers = false;
};

// The workers of a service that may get a task now.
std::vector<Site> openSites(Engine &engine, const ServiceId &service, TimePoint now);

// How many tasks of one step of an occurrence each worker and each rack has.
struct Spread
{
    std::map<WorkerIncarnation, int> onWorker;
    std::map<RackId, int> onRack;
};

Spread spreadOf(const Engine &engine, const jobs::Occurrence &occurrence, int step);

// The best site for a task of `step`, or null. `avoid` are workers that run a copy already; with
// `rack` only that rack is considered.
Site *chooseSite(std::vector<Site> &sites, const jobs::StepSpec &step, const Spread &spread,
                 const std::vector<WorkerIncarnation> &avoid, const RackId *rack);

// Whether a site can host a task of `step` at all, room aside.
bool isSuitable(const Site &site, const jobs::StepSpec &step);

}  // namespace poplarstream::engine
