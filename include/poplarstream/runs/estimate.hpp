#pragma once

#include <map>  // for map
#include <span>  // for span

#include "poplarstream/runs/run_policy.hpp"  // for RunPolicy
#include "poplarstream/runs/runs_state.hpp"  // for RunsState
#include "poplarstream/runs/worker_view.hpp"  // for WorkerView

namespace poplarstream {

// How far the real sizes of a service are from the declared ones: mean and standard deviation of
// measured over declared, and the median for run times.
struct ServiceBias
{
    double cpus = 1;
    double cpuDeviation = 0;
    double memory = 1;
    double memoryDeviation = 0;
    double duration = 1;
};

// From the newest finished runs of the service and from its running tasks whose usage has stopped
// growing. With few of them, the bias is a cautious guess.
ServiceBias serviceBias(const RunsState &state, const ServiceId &service,
                        std::span<const UsageRatios> running);

// What a run is expected to use at its peak. Accelerators are taken as declared, since a task
// cannot use more than it is given. The deviations are standard deviations.
struct SizeEstimate
{
    Resources mean;
    double cpuDeviation = 0;
    double memoryDeviation = 0;
};
SizeEstimate estimatedSize(const ServiceBias &bias, const Resources &declared);

Milliseconds estimatedDuration(const ServiceBias &bias, Milliseconds declared);

// A claim at a worker, or one that is about to be made. `age` is the time since its start is on
// record; 0 before.
struct OpenClaim
{
    FencingToken token;
    Resources reserved;
    SizeEstimate size;
    Milliseconds age{0};
};

// How full a worker is. Needs of tasks whose usage is settled are measured, those of others are
// estimated, and errors of independent estimates partly cancel out: the safety margin is a multiple
// of the root of the sum of their squares.
struct Room
{
    Resources limit;
    double cpus = 0;
    double cpuVariance = 0;
    double memory = 0;
    double memoryVariance = 0;
    std::uint32_t accelerators = 0;
    double reservedCpus = 0;
    double reservedMemory = 0;
    std::uint32_t runs = 0;
    std::uint32_t settledRuns = 0;
};
Room roomOf(const WorkerView &worker, std::span<const OpenClaim> claims, const RunPolicy &policy);

bool hasRoom(const Room &room, const SizeEstimate &size);
void addTo(Room &room, const SizeEstimate &size);

// What to state as the worker's capacity in a claim of this size: the reservations on record and
// the claim itself, so that a claim of another owner in between makes it refused when the rest
// would not hold both.
Resources statedCapacity(const Room &room);

// The usage of a task in the newest report, and whether it grew no further since the report before;
// empty when the report does not list the task.
struct MeasuredUsage
{
    Resources usage;
    bool isSettled = false;
};
std::optional<MeasuredUsage> measuredUsage(const WorkerView &worker, const FencingToken &token);

}  // namespace poplarstream
