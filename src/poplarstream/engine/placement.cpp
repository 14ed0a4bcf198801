#include "poplarstream/engine/placement.hpp"

#include <algorithm>  // for find, find_if
#include <optional>  // for optional
#include <string>  // for string
#include <tuple>  // for tuple, make_tuple

#include "poplarstream/engine/attempts.hpp"  // for capacityUsedBy, stepOf, findJob
#include "poplarstream/engine/filler_pace.hpp"  // for arePacesInTime
#include "poplarstream/engine/worker_health.hpp"  // for trustIn, isTrialDue
#include "poplarstream/jobs/queries.hpp"  // for findTask, isFinal

namespace poplarstream::engine {

namespace {

template <class Map, class Key>
int countAt(const Map &map, const Key &key)
{
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second;
}

// The number of tasks on the worker of an image in `conflicts`.
int conflictsAt(const Worker &worker, const std::vector<std::string> &conflicts)
{
    int count = 0;
    for (const std::string &image : conflicts) {
        count += countAt(worker.mix.images, image);
    }
    return count;
}

// `conflicts` counts the tasks there that slow a task of `step` down or are slowed down by it.
Sharing sharingAt(const PlacementCandidate &candidate, const jobs::StepSpec &step, int conflicts)
{
    const bool isShared = (step.fills && candidate.hostsServing)
                          || (step.target > Milliseconds{0} && candidate.hostsFillers);
    return !isShared                             ? Sharing::None
           : candidate.isPaced && conflicts == 0 ? Sharing::Paced
                                                 : Sharing::Harmful;
}

using Cost = std::tuple<Sharing, Trust, int, int, int, int, int, int, int, std::int64_t>;

// Lower is better. Keeps filling and serving tasks apart. Keeps tasks that may take their worker
// down apart, and tasks of images that slow each other down. Avoids workers that will be emptied
// soon. Long-running tasks share workers with each other but are spread over racks. Prefers the
// fullest worker, so that idle workers can be given to other pools.
Cost costOf(const PlacementCandidate &candidate, const jobs::StepSpec &step,
            const PlacementCounts &counts, Sharing sharing, int conflicts, bool isSuspect)
{
    const WorkerEntry &entry = candidate.worker->entry;
    const bool isRemote = !step.affinityRack.empty() && entry.rack.text() != step.affinityRack;
    const int onRack = step.longRunning ? countAt(counts.onRack, entry.rack) : 0;
    const bool isFresh = step.longRunning && !candidate.hostsLongRunning;
    return {sharing,
            candidate.trust,
            candidate.suspects,
            isSuspect ? candidate.attempts : 0,
            isRemote ? 1 : 0,
            conflicts,
            candidate.worker->isDueForMaintenance ? 1 : 0,
            isFresh ? 1 : 0,
            onRack,
            candidate.freeCapacity.cpuMilli};
}

bool isListed(const Worker &worker)
{
    return worker.isListed && !worker.isGone;
}

// Why a listed worker gets no tasks at all.
PlacementObstacle obstacleOf(const Worker &worker, TimePoint now)
{
    return worker.reachability != Reachability::Reachable ? PlacementObstacle::Unreachable
           : worker.entry.isDraining                      ? PlacementObstacle::Draining
           : worker.isCordoned                            ? PlacementObstacle::Cordoned
           : !worker.unexpectedAttempts.empty()           ? PlacementObstacle::UnknownRuns
           : trustIn(worker, now) == Trust::Quarantined   ? PlacementObstacle::Quarantined
           : trustIn(worker, now) == Trust::Probation && !isTrialDue(worker, now)
                   ? PlacementObstacle::Probation
                   : PlacementObstacle::None;
}

bool mayGetTasks(const Worker &worker, TimePoint now)
{
    if (!isListed(worker)) {
        return false;
    }
    const PlacementObstacle obstacle = obstacleOf(worker, now);
    return obstacle == PlacementObstacle::None || obstacle == PlacementObstacle::Quarantined
           || obstacle == PlacementObstacle::Probation;
}

// Whether the worker is trusted enough for a task that may use `lastResort`.
bool isTrusted(const PlacementCandidate &candidate, LastResort lastResort)
{
    switch (candidate.trust) {
    case Trust::Full:
        return true;
    case Trust::Probation:
        return candidate.isTrialDue || (lastResort == LastResort::Any && candidate.isLastResortDue);
    case Trust::Quarantined:
        break;
    }
    return (lastResort != LastResort::None && candidate.isTrialDue)
           || (lastResort == LastResort::Any && candidate.isLastResortDue);
}

bool contains(std::span<const WorkerIncarnation> workers, const PlacementCandidate &candidate)
{
    return std::find(workers.begin(), workers.end(), candidate.worker->entry.incarnation)
           != workers.end();
}

PlacementCandidate candidateFor(const Engine &engine, Worker &worker, TimePoint now)
{
    PlacementCandidate candidate;
    candidate.worker = &worker;
    candidate.trust = trustIn(worker, now);
    candidate.isTrialDue = isTrialDue(worker, now);
    candidate.isLastResortDue = isLastResortDue(worker, now);
    candidate.pairs = &engine.interference;
    candidate.isPaced = arePacesInTime(engine.limits);
    candidate.freeCapacity = worker.entry.capacity;
    candidate.freeCapacity -= worker.used;
    candidate.attempts = static_cast<int>(worker.attempts.size());
    candidate.hostsLongRunning = worker.mix.longRunning > 0;
    candidate.hostsServing = worker.mix.serving > 0;
    candidate.hostsFillers = worker.mix.filling > 0;
    return candidate;
}

// Counts the suspected tasks of each candidate. Forgets those that have ended.
void countSuspects(Engine &engine, std::map<ServiceId, std::vector<PlacementCandidate>> &candidates)
{
    if (engine.suspects.empty()) {
        return;
    }
    std::map<WorkerIncarnation, int> onWorker;
    std::erase_if(engine.suspects, [&](const TaskRef &ref) {
        jobs::Job *const job = findJob(engine, ref.job);
        const jobs::Task *const task = job == nullptr ? nullptr : jobs::findTask(*job, ref);
        if (task == nullptr || (task->attempts.empty() && jobs::isFinal(job->state))) {
            return true;
        }
        for (const jobs::Attempt &attempt : task->attempts) {
            ++onWorker[attempt.worker];
        }
        return task->isDone && task->attempts.empty();
    });
    for (auto &[service, own] : candidates) {
        for (PlacementCandidate &candidate : own) {
            candidate.suspects = countAt(onWorker, candidate.worker->entry.incarnation);
        }
    }
}

}  // namespace

std::map<ServiceId, std::vector<PlacementCandidate>>
placementCandidates(Engine &engine, std::span<const ServiceId *const> services, TimePoint now)
{
    std::map<ServiceId, std::vector<PlacementCandidate>> candidates;
    std::vector<std::vector<PlacementCandidate> *> byService;
    byService.reserve(services.size());
    for (const ServiceId *const service : services) {
        byService.push_back(&candidates[*service]);
    }
    for (auto &entry : engine.workers) {
        Worker &worker = entry.second;
        const auto own =
                std::find_if(services.begin(), services.end(), [&](const ServiceId *service) {
                    return *service == worker.entry.service;
                });
        if (own != services.end() && mayGetTasks(worker, now)) {
            byService[static_cast<std::size_t>(own - services.begin())]->push_back(
                    candidateFor(engine, worker, now));
        }
    }
    countSuspects(engine, candidates);
    return candidates;
}

std::vector<PlacementCandidate> placementCandidates(Engine &engine, const ServiceId &service,
                                                    TimePoint now)
{
    const ServiceId *const services[] = {&service};
    return std::move(placementCandidates(engine, services, now).at(service));
}

std::vector<PlacementCandidate> listedWorkers(Engine &engine, const ServiceId &service,
                                              TimePoint now)
{
    std::vector<PlacementCandidate> candidates;
    for (auto &[incarnation, worker] : engine.workers) {
        if (worker.entry.service == service && isListed(worker)) {
            candidates.push_back(candidateFor(engine, worker, now));
        }
    }
    return candidates;
}

bool needsCounts(const jobs::StepSpec &step)
{
    return step.antiAffinity > 0 || step.longRunning;
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

bool hasRoomFor(const PlacementCandidate &candidate, const jobs::StepSpec &step,
                const PlacementCounts &counts)
{
    // Most candidates fail the first test.
    return capacityUsedBy(step).fits(candidate.freeCapacity)
           && (step.antiAffinity <= 0
               || countAt(counts.onWorker, candidate.worker->entry.incarnation) < step.antiAffinity)
           && isSuitable(candidate, step);
}

PlacementObstacle obstacleAt(const PlacementCandidate &candidate,
                             std::span<const WorkerIncarnation> failedOn, TimePoint now)
{
    const PlacementObstacle own = obstacleOf(*candidate.worker, now);
    return own == PlacementObstacle::None && contains(failedOn, candidate)
                   ? PlacementObstacle::Failed
                   : own;
}

bool fillsOrServes(const jobs::StepSpec &step)
{
    return step.fills || step.target > Milliseconds{0};
}

PlacementCandidate *chooseCandidate(std::vector<PlacementCandidate> &candidates,
                                    const jobs::StepSpec &step, const PlacementCounts &counts,
                                    const PlacementLimits &limits)
{
    const std::vector<std::string> conflicts =
            candidates.empty() ? std::vector<std::string>{}
                               : interference::conflictsOf(*candidates.front().pairs, step.image);
    PlacementCandidate *best = nullptr;
    std::optional<Cost> bestCost;
    for (PlacementCandidate &candidate : candidates) {
        if (!hasRoomFor(candidate, step, counts)
            || (limits.rack != nullptr && candidate.worker->entry.rack != *limits.rack)
            || contains(limits.avoid, candidate) || !isTrusted(candidate, limits.lastResort)) {
            continue;
        }
        const int conflictsHere = conflictsAt(*candidate.worker, conflicts);
        const Sharing sharing = sharingAt(candidate, step, conflictsHere);
        if (sharing > limits.worstSharing) {
            continue;
        }
        const Cost cost = costOf(candidate, step, counts, sharing, conflictsHere, limits.isSuspect);
        if (!bestCost || cost < *bestCost) {
            best = &candidate;
            bestCost = cost;
        }
    }
    return best;
}

}  // namespace poplarstream::engine
