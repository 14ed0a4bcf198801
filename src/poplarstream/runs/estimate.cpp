#include "poplarstream/runs/estimate.hpp"

#include <algorithm>  // for nth_element, max, find_if
#include <cmath>  // for ceil, sqrt, llround
#include <vector>  // for vector

namespace poplarstream {
namespace {

constexpr std::size_t minSamples = 4;
// Without history, 1.5 times the declared size is expected, with a standard deviation equal to the
// declared size.
constexpr double defaultMean = 1.5;
constexpr double defaultDeviation = 1.0;
// Number of standard deviations of memory that are kept free. With normally distributed errors, 2.5
// lets one worker in 160 exceed its limit, and checkpoints act before that.
constexpr double safetyMarginDeviations = 2.5;
// Measured usage can still vary by a few percent.
constexpr double measuredUsageMargin = 1.05;
// Usage that grows by less than this share between two reports has reached its peak.
constexpr double maxSettledGrowth = 0.002;
// A task that started this long ago and that a report does not list has completed, but the log does
// not show it yet.
constexpr Milliseconds usageReportDelay{3'000};

struct Moments
{
    double mean = defaultMean;
    double deviation = defaultDeviation;
};

std::vector<double> ratiosOf(const RunsState &state, const ServiceId &service,
                             std::span<const UsageRatios> running, double UsageRatios::*ratio)
{
    std::vector<double> ratios;
    const auto add = [&](const UsageRatios &sample) {
        if (sample.*ratio > 0) {
            ratios.push_back(sample.*ratio);
        }
    };
    if (const auto samples = state.usageRatios.find(service); samples != state.usageRatios.end()) {
        std::for_each(samples->second.begin(), samples->second.end(), add);
    }
    std::for_each(running.begin(), running.end(), add);
    return ratios;
}

Moments computeMoments(std::span<const double> ratios)
{
    if (ratios.size() < minSamples) {
        return {};
    }
    const auto count = static_cast<double>(ratios.size());
    double sum = 0;
    for (const double ratio : ratios) {
        sum += ratio;
    }
    const double mean = sum / count;
    double squares = 0;
    for (const double ratio : ratios) {
        squares += (ratio - mean) * (ratio - mean);
    }
    // The mean itself has a standard error of the deviation over the square root of the count.
    return {mean, std::sqrt(squares / (count - 1) * (1 + 1 / count))};
}

double computeMedian(std::vector<double> ratios)
{
    if (ratios.size() < minSamples) {
        return 1;
    }
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle;
}

const TaskUsage *findUsage(const std::optional<UsageReport> &report, const FencingToken &token)
{
    if (!report) {
        return nullptr;
    }
    const auto found = std::find_if(report->tasks.begin(), report->tasks.end(),
                                    [&](const TaskUsage &task) { return task.token == token; });
    return found == report->tasks.end() ? nullptr : &*found;
}

void addClaim(WorkerOccupancy &occupancy, const WorkerView &worker, const OpenClaim &claim)
{
    occupancy.reservedCpus += claim.reserved.cpus;
    occupancy.reservedMemory += static_cast<double>(claim.reserved.memoryMegabytes);
    const auto measured = measuredUsage(worker, claim.token);
    if (!measured && worker.usage && claim.age >= usageReportDelay) {
        return;
    }
    if (!measured) {
        addTo(occupancy, claim.size);
        return;
    }
    ++occupancy.runs;
    occupancy.accelerators += claim.reserved.accelerators;
    const auto memory = static_cast<double>(measured->usage.memoryMegabytes);
    const auto expected = static_cast<double>(claim.size.mean.memoryMegabytes);
    occupancy.cpus += measured->usage.cpus;
    if (measured->isSettled) {
        ++occupancy.settledRuns;
        occupancy.memory += memory * measuredUsageMargin;
    } else {
        occupancy.memory += std::max(memory, expected);
        occupancy.memoryVariance += claim.size.memoryDeviation * claim.size.memoryDeviation;
    }
}

}  // namespace

ServiceBias serviceBias(const RunsState &state, const ServiceId &service,
                        std::span<const UsageRatios> running)
{
    const Moments cpus = computeMoments(ratiosOf(state, service, running, &UsageRatios::cpus));
    const Moments memory = computeMoments(ratiosOf(state, service, running, &UsageRatios::memory));
    return {cpus.mean, cpus.deviation, memory.mean, memory.deviation,
            computeMedian(ratiosOf(state, service, running, &UsageRatios::duration))};
}

SizeEstimate estimatedSize(const ServiceBias &bias, const Resources &declared)
{
    const auto memory = static_cast<double>(declared.memoryMegabytes);
    return {{declared.cpus * bias.cpus, static_cast<std::uint64_t>(std::ceil(memory * bias.memory)),
             declared.accelerators},
            declared.cpus * bias.cpuDeviation,
            memory * bias.memoryDeviation};
}

Milliseconds estimatedDuration(const ServiceBias &bias, Milliseconds declared)
{
    return Milliseconds{std::llround(static_cast<double>(declared.count()) * bias.duration)};
}

WorkerOccupancy occupancyOf(const WorkerView &worker, std::span<const OpenClaim> claims,
                            const RunPolicy &policy)
{
    WorkerOccupancy occupancy;
    occupancy.limit = {
            worker.capacity.cpus * policy.cpuFillShare,
            static_cast<std::uint64_t>(static_cast<double>(worker.capacity.memoryMegabytes)
                                       * policy.memoryFillShare),
            worker.capacity.accelerators};
    for (const OpenClaim &claim : claims) {
        addClaim(occupancy, worker, claim);
    }
    if (worker.usage) {
        // Usage that belongs to no claim counts too.
        occupancy.memory = std::max(occupancy.memory,
                                    static_cast<double>(worker.usage->total.memoryMegabytes));
    }
    return occupancy;
}

bool hasCapacity(const WorkerOccupancy &occupancy, const SizeEstimate &size)
{
    WorkerOccupancy filled = occupancy;
    addTo(filled, size);
    // Processors need no safety margin: tasks that temporarily need more share them.
    return filled.cpus <= occupancy.limit.cpus
           && filled.memory + safetyMarginDeviations * std::sqrt(filled.memoryVariance)
                      <= static_cast<double>(occupancy.limit.memoryMegabytes)
           && filled.accelerators <= occupancy.limit.accelerators;
}

void addTo(WorkerOccupancy &occupancy, const SizeEstimate &size)
{
    occupancy.cpus += size.mean.cpus;
    occupancy.cpuVariance += size.cpuDeviation * size.cpuDeviation;
    occupancy.memory += static_cast<double>(size.mean.memoryMegabytes);
    occupancy.memoryVariance += size.memoryDeviation * size.memoryDeviation;
    occupancy.accelerators += size.mean.accelerators;
    ++occupancy.runs;
}

Resources statedCapacity(const WorkerOccupancy &occupancy)
{
    const double safety = safetyMarginDeviations * std::sqrt(occupancy.memoryVariance);
    const double memory = std::max(0.0, static_cast<double>(occupancy.limit.memoryMegabytes)
                                                - occupancy.memory - safety);
    return {occupancy.reservedCpus + std::max(0.0, occupancy.limit.cpus - occupancy.cpus),
            static_cast<std::uint64_t>(std::ceil(occupancy.reservedMemory + memory)),
            occupancy.limit.accelerators};
}

std::optional<MeasuredUsage> measuredUsage(const WorkerView &worker, const FencingToken &token)
{
    const TaskUsage *current = findUsage(worker.usage, token);
    if (!current) {
        return std::nullopt;
    }
    const TaskUsage *before = findUsage(worker.previousUsage, token);
    const auto memory = static_cast<double>(current->usage.memoryMegabytes);
    const bool isSettled = before && worker.previousUsage->at < worker.usage->at
                           && memory <= static_cast<double>(before->usage.memoryMegabytes)
                                                * (1 + maxSettledGrowth);
    return MeasuredUsage{current->usage, isSettled};
}

}  // namespace poplarstream
