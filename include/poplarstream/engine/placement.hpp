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
    Probation,  // it has just been tried after a quarantine
    Failed,  // the task failed there
};

// How far a worker is trusted, from best to worst.
enum class Trust {
    Full,
    Probation,  // its quarantine is over, but nothing has succeeded there since
    Quarantined,
};

// Which workers in quarantine a task may get that has no other.
enum class LastResort {
    None,
    Trial,  // those of which a trial is due
    Any,  // at a limited rate
};

// How filling and serving tasks would share a worker, from best to worst.
enum class Sharing {
    None,  // there is only one kind
    Paced,  // paces protect the serving tasks in time
    Harmful,  // they are known to slow each other down, or no pace acts in time
};

// A worker with its free capacity.
struct PlacementCandidate
{
    Worker *worker = nullptr;
    jobs::Resources freeCapacity;
    Trust trust = Trust::Full;
    bool isTrialDue = false;  // a worker that is not trusted fully may get a task
    bool isLastResortDue = false;  // it may get one that has waited for too long
    bool hostsLongRunning = false;  // runs a long-running task
    bool hostsServing = false;  // runs a task with a latency target
    bool hostsFillers = false;  // runs a filling task
    int attempts = 0;  // that run or may run there
    int suspects = 0;  // of them, of tasks that may take the worker down
    bool isPaced = false;  // paces protect serving tasks from filling ones in time
    const interference::PairTable *pairs = nullptr;  // images that slow each other down
};

// The workers of a service that may get a task now, with those in quarantine.
std::vector<PlacementCandidate> placementCandidates(Engine &engine, const ServiceId &service,
                                                    TimePoint now);

// The same for several services, with one pass over all workers.
std::map<ServiceId, std::vector<PlacementCandidate>>
placementCandidates(Engine &engine, std::span<const ServiceId *const> services, TimePoint now);

// All workers of a service in the registry, also those that may get no tasks.
std::vector<PlacementCandidate> listedWorkers(Engine &engine, const ServiceId &service,
                                              TimePoint now);

// The number of tasks of one step and occurrence on each worker and each rack.
struct PlacementCounts
{
    std::map<WorkerIncarnation, int> onWorker;
    std::map<RackId, int> onRack;
};

// Whether the placement of a task of `step` depends on where the others are.
bool needsCounts(const jobs::StepSpec &step);

PlacementCounts countPlacements(const Engine &engine, const jobs::Occurrence &occurrence, int step);

// Which candidates a task may get.
struct PlacementLimits
{
    std::span<const WorkerIncarnation> avoid = {};  // workers to skip
    const RackId *rack = nullptr;  // if set, all other racks are skipped
    Sharing worstSharing = Sharing::Harmful;
    LastResort lastResort = LastResort::None;
    bool isSuspect = false;  // the task may take its worker down
};

// The best candidate for a task of `step`, or null. Workers on probation come after trusted ones
// and get one task at a time, and those in quarantine only as the last resort. A suspected task
// prefers workers without other tasks, and all tasks prefer workers without suspected ones, and
// without tasks that they slow down or that slow them down. Filling and serving tasks share a
// worker where no other has room, and where they are known to slow each other down only as the last
// resort: a lasting task must not wait for good beside free capacity.
PlacementCandidate *chooseCandidate(std::vector<PlacementCandidate> &candidates,
                                    const jobs::StepSpec &step, const PlacementCounts &counts,
                                    const PlacementLimits &limits);

// Whether tasks of `step` fill, or serve with a latency target.
bool fillsOrServes(const jobs::StepSpec &step);

// Whether the worker has the free capacity and the label for a task of `step`, and fewer tasks of
// it than the step allows.
bool hasRoomFor(const PlacementCandidate &candidate, const jobs::StepSpec &step,
                const PlacementCounts &counts);

// Why a worker with room doesn't get a task that failed on the workers in `failedOn`.
PlacementObstacle obstacleAt(const PlacementCandidate &candidate,
                             std::span<const WorkerIncarnation> failedOn, TimePoint now);

// Whether the worker has the labels that `step` requires. Ignores free capacity.
bool isSuitable(const PlacementCandidate &candidate, const jobs::StepSpec &step);

}  // namespace poplarstream::engine
