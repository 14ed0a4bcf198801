#include "poplarstream/runs/estimate.hpp"

#include <algorithm>  // for nth_element, max, find_if
#include <cmath>  // for ceil, llround

namespace poplarstream {
namespace {

constexpr std::size_t enoughSamples = 4;
constexpr double sizeQuantile = 0.9;
// The newest runs can be somewhat larger than any of the sampled ones.
constexpr double sizeMargin = 1.1;
// Without history a run may be larger than declared; half more is kept free for the first ones.
constexpr double unknownFactor = 1.5;
// Usage of a task counts instead of its reservation from this age on; a younger task may still
// grow.
constexpr Milliseconds settledAfter{20'000};
constexpr double usageMargin = 1.1;

// The quantile of a ratio among the samples that have it, or `fallback` when there are too few.
double ratioQuantile(const RunsState &state, const ServiceId &service, double SizeSample::*ratio,
                     double quantile, double fallback)
{
    const auto samples = state.sizes.find(service);
    if (samples == state.sizes.end()) {
        return fallback;
    }
    std::vector<double> ratios;
    for (const SizeSample &sample : samples->second) {
        if (sample.*ratio > 0) {
            ratios.push_back(sample.*ratio);
        }
    }
    if (ratios.size() < enoughSamples) {
        return fallback;
    }
    const auto position = static_cast<std::ptrdiff_t>(
            std::min(static_cast<double>(ratios.size() - 1),
                     std::floor(quantile * static_cast<double>(ratios.size()))));
    std::nth_element(ratios.begin(), ratios.begin() + position, ratios.end());
    return ratios[static_cast<std::size_t>(position)];
}

std::uint64_t wholeMegabytes(double megabytes)
{
    return static_cast<std::uint64_t>(std::ceil(std::max(0.0, megabytes)));
}

}  // namespace

Resources estimatedSize(const RunsState &state, const ServiceId &service, const Resources &declared)
{
    const double unknown = unknownFactor / sizeMargin;
    const double cpus =
            ratioQuantile(state, service, &SizeSample::cpus, sizeQuantile, unknown) * sizeMargin;
    const double memory =
            ratioQuantile(state, service, &SizeSample::memory, sizeQuantile, unknown) * sizeMargin;
    return {declared.cpus * cpus,
            wholeMegabytes(static_cast<double>(declared.memoryMegabytes) * memory),
            declared.accelerators};
}

Milliseconds estimatedDuration(const RunsState &state, const ServiceId &service,
                               Milliseconds declared)
{
    const double ratio = ratioQuantile(state, service, &SizeSample::duration, 0.5, 1.0);
    return Milliseconds{std::llround(static_cast<double>(declared.count()) * ratio)};
}

Room roomOf(const WorkerView &worker, std::span<const OpenClaim> claims, double fillLimit)
{
    double cpus = 0;
    double memory = 0;
    std::uint32_t accelerators = 0;
    double reservedCpus = 0;
    double reservedMemory = 0;
    for (const OpenClaim &claim : claims) {
        Resources used = claim.reserved;
        if (worker.usage && claim.age >= settledAfter) {
            const auto &tasks = worker.usage->tasks;
            const auto task = std::find_if(tasks.begin(), tasks.end(), [&](const TaskUsage &t) {
                return t.token == claim.token;
            });
            if (task != tasks.end()) {
                used.cpus = task->usage.cpus * usageMargin;
                used.memoryMegabytes = wholeMegabytes(
                        static_cast<double>(task->usage.memoryMegabytes) * usageMargin);
            }
        }
        cpus += used.cpus;
        memory += static_cast<double>(used.memoryMegabytes);
        accelerators += claim.reserved.accelerators;
        reservedCpus += claim.reserved.cpus;
        reservedMemory += static_cast<double>(claim.reserved.memoryMegabytes);
    }
    if (worker.usage) {
        // Usage that no claim explains counts too.
        memory = std::max(memory, static_cast<double>(worker.usage->total.memoryMegabytes));
    }
    const double limitMemory = static_cast<double>(worker.capacity.memoryMegabytes) * fillLimit;
    Room room;
    room.left.cpus = std::max(0.0, worker.capacity.cpus * fillLimit - cpus);
    room.left.memoryMegabytes =
            static_cast<std::uint64_t>(std::max(0.0, std::floor(limitMemory - memory)));
    room.left.accelerators =
            worker.capacity.accelerators - std::min(worker.capacity.accelerators, accelerators);
    room.statedCapacity = {room.left.cpus + reservedCpus,
                           room.left.memoryMegabytes + wholeMegabytes(reservedMemory),
                           worker.capacity.accelerators};
    room.runs = static_cast<std::uint32_t>(claims.size());
    return room;
}

}  // namespace poplarstream
