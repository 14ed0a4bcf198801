#include "poplarstream/runs/estimate.hpp"

#include <algorithm>  // for nth_element, max, find_if
#include <cmath>  // for ceil, sqrt, llround
#include <vector>  // for vector

namespace poplarstream {
namespace {

constexpr std::size_t enoughSamples = 4;
// Without history, half more than declared is expected, with an error as large as the declared
// size.
constexpr double unknownMean = 1.5;
constexpr double unknownDeviation = 1.0;
// Standard deviations kept free. With 2.5, one worker in 160 would pass its limit if the errors
// were normal, and the checkpoints act before that.
constexpr double safetyDeviations = 2.5;
// A measured need can still vary by some percent.
constexpr double measuredMargin = 1.05;
// Usage that grows by less than this share between two reports has reached its peak.
constexpr double settledGrowth = 0.002;
// A started task that a report does not list has ended; the log only does not know yet.
constexpr Milliseconds listedAfter{3'000};

struct Moments
{
    double mean = unknownMean;
    double deviation = unknownDeviation;
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

Moments momentsOf(std::span<const double> ratios)
{
    if (ratios.size() < enoughSamples) {
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
    // The mean itself is uncertain by the deviation over the root of the count.
    return {mean, std::sqrt(squares / (count - 1) * (1 + 1 / count))};
}

double medianOf(std::vector<double> ratios)
{
    if (ratios.size() < enoughSamples) {
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

void addClaim(Room &room, const WorkerView &worker, const OpenClaim &claim)
{
    room.reservedCpus += claim.reserved.cpus;
    room.reservedMemory += static_cast<double>(claim.reserved.memoryMegabytes);
    const auto measured = measuredUsage(worker, claim.token);
    if (!measured && worker.usage && claim.age >= listedAfter) {
        return;
    }
    if (!measured) {
        addTo(room, claim.size);
        return;
    }
    ++room.runs;
    room.accelerators += claim.reserved.accelerators;
    const auto memory = static_cast<double>(measured->usage.memoryMegabytes);
    const auto expected = static_cast<double>(claim.size.mean.memoryMegabytes);
    room.cpus += measured->usage.cpus;
    if (measured->isSettled) {
        ++room.settledRuns;
        room.memory += memory * measuredMargin;
    } else {
        room.memory += std::max(memory, expected);
        room.memoryVariance += claim.size.memoryDeviation * claim.size.memoryDeviation;
    }
}

}  // namespace

ServiceBias serviceBias(const RunsState &state, const ServiceId &service,
                        std::span<const UsageRatios> running)
{
    const Moments cpus = momentsOf(ratiosOf(state, service, running, &UsageRatios::cpus));
    const Moments memory = momentsOf(ratiosOf(state, service, running, &UsageRatios::memory));
    return {cpus.mean, cpus.deviation, memory.mean, memory.deviation,
            medianOf(ratiosOf(state, service, running, &UsageRatios::duration))};
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

Room roomOf(const WorkerView &worker, std::span<const OpenClaim> claims, const RunPolicy &policy)
{
    Room room;
    room.limit = {worker.capacity.cpus * policy.cpuFill,
                  static_cast<std::uint64_t>(static_cast<double>(worker.capacity.memoryMegabytes)
                                             * policy.memoryFill),
                  worker.capacity.accelerators};
    for (const OpenClaim &claim : claims) {
        addClaim(room, worker, claim);
    }
    if (worker.usage) {
        // Usage that no claim explains counts too.
        room.memory =
                std::max(room.memory, static_cast<double>(worker.usage->total.memoryMegabytes));
    }
    return room;
}

bool hasRoom(const Room &room, const SizeEstimate &size)
{
    Room filled = room;
    addTo(filled, size);
    // Processors need no margin: tasks that want more for a while share them.
    return filled.cpus <= room.limit.cpus
           && filled.memory + safetyDeviations * std::sqrt(filled.memoryVariance)
                      <= static_cast<double>(room.limit.memoryMegabytes)
           && filled.accelerators <= room.limit.accelerators;
}

void addTo(Room &room, const SizeEstimate &size)
{
    room.cpus += size.mean.cpus;
    room.cpuVariance += size.cpuDeviation * size.cpuDeviation;
    room.memory += static_cast<double>(size.mean.memoryMegabytes);
    room.memoryVariance += size.memoryDeviation * size.memoryDeviation;
    room.accelerators += size.mean.accelerators;
    ++room.runs;
}

Resources statedCapacity(const Room &room)
{
    const double safety = safetyDeviations * std::sqrt(room.memoryVariance);
    const double memory =
            std::max(0.0, static_cast<double>(room.limit.memoryMegabytes) - room.memory - safety);
    return {room.reservedCpus + std::max(0.0, room.limit.cpus - room.cpus),
            static_cast<std::uint64_t>(std::ceil(room.reservedMemory + memory)),
            room.limit.accelerators};
}

std::optional<MeasuredUsage> measuredUsage(const WorkerView &worker, const FencingToken &token)
{
    const TaskUsage *current = findUsage(worker.usage, token);
    if (!current) {
        return std::nullopt;
    }
    const TaskUsage *before = findUsage(worker.previousUsage, token);
    const auto memory = static_cast<double>(current->usage.memoryMegabytes);
    const bool isSettled =
            before && worker.previousUsage->at < worker.usage->at
            && memory <= static_cast<double>(before->usage.memoryMegabytes) * (1 + settledGrowth);
    return MeasuredUsage{current->usage, isSettled};
}

}  // namespace poplarstream
