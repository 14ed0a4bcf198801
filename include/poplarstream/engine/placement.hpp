#pragma once

#include <map>  // for map
#include <span>  // for span
#include <vector>  // for vector

#include "poplarstream/engine/state.hpp"  // for Engine, Worker

namespace poplarstream::engine {

// Why a worker may not get a task for now, though it may have room for it.
enum class PlacementObstacle {
    None,
    Unreachable,  // it does not respond, or has not responded to this owner yet
    Draining,
    Cordoned,  // it is being emptied for maintenance or a move
    UnknownRuns,  // it runs tasks of no job, which are being stopped
    Quarantined,
    Failed,  // the task failed there
    Neighbours,  // filling and serving tasks that must not share a worker
};

// A worker with its free capacity.
struct PlacementCandidate
{
    Worker *worker = nullptr;
    jobs::Resources freeCapacity;
    bool hostsLongRunning = false;  // runs a long-running task
    bool hostsServing = false;  // runs a task with a latency target
    bool hostsFillers = false;  // runs a filling task
    int attempts = 0;  // that run or may run there
    int suspects = 0;  // of them, of tasks that may take the worker down
    bool mayShare = false;  // filling and serving tasks may run side by side if need be
    const interference::PairTable *pairs = nullptr;  // images that slow each other down
};

// The workers of a service that may get a task now.
std::vector<PlacementCandidate> placementCandidates(Engine &engine, const ServiceId &service,
                                                    TimePoint now);

// The same for several services, with one pass over all workers.
std::map<ServiceId, std::vector<PlacementCandidate>>
placementCandidates(Engine &engine, std::span<const ServiceId *const> services, TimePoint now);

// All workers of a service in the registry, also those that may get no tasks.
std::vector<PlacementCandidate> listedWorkers(Engine &engine, const ServiceId &service);

// The number of tasks of one step and occurrence on each worker and each rack.
struct PlacementCounts
{
    std::map<WorkerIncarnation, int> onWorker;
    std::map<RackId, int> onRack;
};

// Whether the placement of a task of `step` depends on where the others are.
bool needsCounts(const jobs::StepSpec &step);

PlacementCounts countPlacements(const Engine &engine, const jobs::Occurrence &occurrence, int step);

// The best candidate for a task of `step`, or null. Skips the workers in `avoid` and, if `rack` is
// set, all other racks. A suspected task prefers workers without other tasks, and all tasks prefer
// workers without suspected ones, and without tasks that they slow down or that slow them down.
// Filling and serving tasks share a worker only where paces are in force, no other worker has room,
// and they are not known to slow each other down.
PlacementCandidate *chooseCandidate(std::vector<PlacementCandidate> &candidates,
                                    const jobs::StepSpec &step, const PlacementCounts &counts,
                                    const std::vector<WorkerIncarnation> &avoid, const RackId *rack,
                                    bool isSuspect = false);

// Whether the worker has the free capacity and the label for a task of `step`, and fewer tasks of
// it than the step allows.
bool hasRoomFor(const PlacementCandidate &candidate, const jobs::StepSpec &step,
                const PlacementCounts &counts);

// Why a worker with room doesn't get a task that failed on the workers in `avoid`.
PlacementObstacle obstacleAt(const PlacementCandidate &candidate, const jobs::StepSpec &step,
                             std::span<const WorkerIncarnation> avoid, TimePoint now);

// Whether the worker has the labels that `step` requires. Ignores free capacity.
bool isSuitable(const PlacementCandidate &candidate, const jobs::StepSpec &step);

}  // namespace poplarstream::engine
