#pragma once

#include <map>  // for map
#include <span>  // for span

#include "poplarstream/runs/run_policy.hpp"  // for RunPolicy
#include "poplarstream/runs/runs_state.hpp"  // for RunsState
#include "poplarstream/runs/worker_view.hpp"  // for WorkerView

namespace poplarstream {

// Ratio of measured to declared sizes of a service: mean and standard deviation for resources,
// median for run times.
struct ServiceBias
{
    double cpus = 1;
    double cpuDeviation = 0;
    double memory = 1;
    double memoryDeviation = 0;
    double duration = 1;
};

// Computed from the most recent finished runs of the service and its running tasks whose usage has
// stopped growing. With too few samples, returns conservative defaults.
ServiceBias serviceBias(const RunsState &state, const ServiceId &service,
                        std::span<const UsageRatios> running);

// Expected peak usage of a run. The deviations are standard deviations. Accelerators are taken as
// declared, since a task cannot use more than it is given.
struct SizeEstimate
{
    Resources mean;
    double cpuDeviation = 0;
    double memoryDeviation = 0;
};
SizeEstimate estimatedSize(const ServiceBias &bias, const Resources &declared);

Milliseconds estimatedDuration(const ServiceBias &bias, Milliseconds declared);

// An open or proposed claim on a worker. `age` is the time since its start was recorded, 0 before
// that.
struct OpenClaim
{
    FencingToken token;
    Resources reserved;
    SizeEstimate size;
    Milliseconds age{0};
};

// How much of a worker is in use. The usage of settled tasks is measured, that of other tasks is
// estimated. Errors of independent estimates partly cancel out, so the safety margin is a multiple
// of the square root of the summed variances.
struct WorkerOccupancy
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
WorkerOccupancy occupancyOf(const WorkerView &worker, std::span<const OpenClaim> claims,
                            const RunPolicy &policy);

bool hasCapacity(const WorkerOccupancy &occupancy, const SizeEstimate &size);
void addTo(WorkerOccupancy &occupancy, const SizeEstimate &size);

// The worker capacity to state in a claim: the recorded reservations plus the free capacity. If
// another owner's claim is recorded first, this one is refused unless both fit.
Resources statedCapacity(const WorkerOccupancy &occupancy);

// The usage of a task in the newest report, and whether it has stopped growing since the previous
// report. Empty if the report does not list the task.
struct MeasuredUsage
{
    Resources usage;
    bool isSettled = false;
};
std::optional<MeasuredUsage> measuredUsage(const WorkerView &worker, const FencingToken &token);

}  // namespace poplarstream
