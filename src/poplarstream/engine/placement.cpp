#include "poplarstream/engine/placement.hpp"

#include <algorithm>  // for find
#include <tuple>  // for tuple, make_tuple

#include "poplarstream/engine/attempts.hpp"  // for capacityUsedBy, stepOf

namespace poplarstream::engine {

namespace {

template <class Map, class Key>
int countAt(const Map &map, const Key &key)
{
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second;
}

// Filling tasks would raise the latency of tasks with a latency target on the same worker.
bool disturbs(const PlacementCandidate &candidate, const jobs::StepSpec &step)
{
    return (step.fills && candidate.hostsServing)
           || (step.target > Milliseconds{0} && candidate.hostsFillers);
}

// Lower is better. Avoids workers that will be emptied soon. Long-running tasks share workers with
// each other but are spread over racks. Prefers the fullest worker, so that idle workers can be
// given to other pools.
std::tuple<int, int, int, int, std::int64_t> costOf(const PlacementCandidate &candidate,
                                                    const jobs::StepSpec &step,
                                                    const PlacementCounts &counts)
{
    const WorkerEntry &entry = candidate.worker->entry;
    const bool isRemote = !step.affinityRack.empty() && entry.rack.text() != step.affinityRack;
    const int onRack = step.longRunning ? countAt(counts.onRack, entry.rack) : 0;
    const bool isFresh = step.longRunning && !candidate.hostsLongRunning;
    return {isRemote ? 1 : 0, candidate.worker->isDueForMaintenance ? 1 : 0, isFresh ? 1 : 0,
            onRack, candidate.freeCapacity.cpuMilli};
}

}  // namespace

std::vector<PlacementCandidate> placementCandidates(Engine &engine, const ServiceId &service,
                                                    TimePoint now)
{
    std::vector<PlacementCandidate> candidates;
    for (auto &[incarnation, worker] : engine.workers) {
        const bool mayStart = worker.entry.service == service && worker.isListed && !worker.isGone
                              && worker.reachability == Reachability::Reachable
                              && !worker.entry.isDraining && !worker.isCordoned
                              && worker.unexpectedAttempts.empty()
                              && worker.quarantinedUntil <= now;
        if (!mayStart) {
            continue;
        }
        PlacementCandidate candidate;
        candidate.worker = &worker;
        candidate.freeCapacity = worker.entry.capacity;
        candidate.freeCapacity -= worker.used;
        candidate.hostsLongRunning = worker.mix.longRunning > 0;
        candidate.hostsServing = worker.mix.serving > 0;
        candidate.hostsFillers = worker.mix.filling > 0;
        candidates.push_back(candidate);
    }
    return candidates;
}

PlacementCounts countPlacements(const Engine &engine, const jobs::Occurrence &occurrence, int step)
{
    PlacementCounts counts;
    for (const jobs::Task &task : occurrence.steps[static_cast<std::size_t>(step)]) {
        for (const jobs::Attempt &attempt : task.attempts) {
            ++counts.onWorker[attempt.worker];
            const auto worker = engine.workers.find(attempt.worker);
            if (worker != engine.workers.end()) {
                ++counts.onRack[worker->second.entry.rack];
            }
        }
    }
    return counts;
}

bool isSuitable(const PlacementCandidate &candidate, const jobs::StepSpec &step)
{
    const auto &labels = candidate.worker->entry.labels;
    return step.requiredLabel.empty()
           || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
}

PlacementCandidate *chooseCandidate(std::vector<PlacementCandidate> &candidates,
                                    const jobs::StepSpec &step, const PlacementCounts &counts,
                                    const std::vector<WorkerIncarnation> &avoid, const RackId *rack)
{
    const jobs::Resources need = capacityUsedBy(step);
    PlacementCandidate *best = nullptr;
    for (PlacementCandidate &candidate : candidates) {
        const WorkerIncarnation &incarnation = candidate.worker->entry.incarnation;
        const bool isFull =
                step.antiAffinity > 0 && countAt(counts.onWorker, incarnation) >= step.antiAffinity;
        if (!need.fits(candidate.freeCapacity) || isFull || !isSuitable(candidate, step)
            || disturbs(candidate, step)
            || (rack != nullptr && candidate.worker->entry.rack != *rack)
            || std::find(avoid.begin(), avoid.end(), incarnation) != avoid.end()) {
            continue;
        }
        if (best == nullptr || costOf(candidate, step, counts) < costOf(*best, step, counts)) {
            best = &candidate;
        }
    }
    return best;
}

}  // namespace poplarstream::engine
