#include "poplarstream/engine/planning.hpp"

#include <algorithm>  // for any_of, count_if, max
#include <utility>  // for move

#include <fmt/format.h>  // for format

#include "poplarstream/engine/account_caps.hpp"  // for passesGate, AccountGates
#include "poplarstream/engine/attempts.hpp"  // for attach, markDirty, capacityUsedBy
#include "poplarstream/engine/crashes.hpp"  // for isSuspect
#include "poplarstream/engine/last_resort.hpp"  // for lastResortFor, noteHeld
#include "poplarstream/engine/placement.hpp"  // for chooseCandidate, placementCandidates
#include "poplarstream/engine/ranking.hpp"  // for rankWaitingSteps, WaitingStep
#include "poplarstream/jobs/queries.hpp"  // for isWaiting

namespace poplarstream::engine {

namespace {

// A speculative task that runs longer gets a copy. Few tasks take that long on a healthy worker.
constexpr Milliseconds speculationDelay{1200};

// A failed task waits this long for another worker. Most tasks finish in less time, so that one
// usually becomes free.
constexpr Milliseconds failedWorkerAvoidance{1000};

struct StepRef
{
    jobs::Job &job;
    jobs::Occurrence &occurrence;
    int occurrenceNumber;
    int step;
};

// What the tasks of one service are placed on during one plan.
struct Pool
{
    std::vector<PlacementCandidate> candidates;
    bool hasDistrusted = false;  // some of them are in quarantine or on probation
};

// What tasks are placed by during one plan.
struct Plan
{
    std::map<ServiceId, Pool> pools;
    AccountGates gates;
};

Pool poolOf(std::vector<PlacementCandidate> candidates)
{
    const bool hasDistrusted = std::any_of(
            candidates.begin(), candidates.end(),
            [](const PlacementCandidate &candidate) { return candidate.trust != Trust::Full; });
    return {std::move(candidates), hasDistrusted};
}

TaskRef taskRefOf(const StepRef &place, std::size_t index)
{
    return {place.job.submission.id, place.occurrenceNumber, place.step, static_cast<int>(index)};
}

std::string_view trustText(Trust trust)
{
    switch (trust) {
    case Trust::Probation:
        return " trust=probation";
    case Trust::Quarantined:
        return " trust=quarantined";
    case Trust::Full:
        break;
    }
    return "";
}

void addAttempt(Engine &engine, const StepRef &place, std::size_t index, int run,
                PlacementCandidate &candidate, PlacementCounts &counts, TimePoint now)
{
    const jobs::StepSpec &step =
            place.job.submission.spec.steps[static_cast<std::size_t>(place.step)];
    jobs::Task &task = place.occurrence.steps[static_cast<std::size_t>(place.step)][index];
    jobs::Attempt attempt;
    attempt.run = run;
    attempt.worker = candidate.worker->entry.incarnation;
    attempt.machine = candidate.worker->machine;
    attempt.startedAt = now;
    task.lastRun = run;
    task.attempts.push_back(std::move(attempt));
    candidate.freeCapacity -= capacityUsedBy(step);
    ++candidate.attempts;
    candidate.suspects += isSuspect(task) ? 1 : 0;
    candidate.hostsLongRunning = candidate.hostsLongRunning || step.longRunning;
    candidate.hostsServing = candidate.hostsServing || step.target > Milliseconds{0};
    candidate.hostsFillers = candidate.hostsFillers || step.fills;
    if (candidate.trust != Trust::Full) {
        candidate.worker->triedAt = now;
        candidate.isTrialDue = false;
        candidate.isLastResortDue = false;
    }
    task.heldSince = {};
    if (needsCounts(step)) {
        ++counts.onWorker[candidate.worker->entry.incarnation];
        ++counts.onRack[candidate.worker->entry.rack];
    }
    AttemptRef ref{taskRefOf(place, index), run};
    recordDecision(
            engine, DecisionKind::TaskPlanned, ref, candidate.worker->entry.incarnation.id, [&] {
                return fmt::format("room_milli={} token={}{}{}", candidate.freeCapacity.cpuMilli,
                                   currentToken(engine, *candidate.worker),
                                   trustText(candidate.trust), accountText(engine, place.job));
            });
    attach(engine, *candidate.worker, place.job, std::move(ref), noDecisivePoll);
    if (place.job.state == jobs::JobState::Queued) {
        place.job.state = jobs::JobState::Running;
    }
    markDirty(engine, place.job);
}

// A failed task waits for another worker for a limited time. It doesn't wait if it failed on all of
// them or is long-running.
bool mayRetryOnFailedWorker(const jobs::Task &task, const jobs::StepSpec &step,
                            const std::vector<PlacementCandidate> &candidates, TimePoint now)
{
    if (task.failedOn.empty()) {
        return false;
    }
    const auto sound = static_cast<std::size_t>(std::count_if(
            candidates.begin(), candidates.end(),
            [](const PlacementCandidate &candidate) { return candidate.trust == Trust::Full; }));
    return step.longRunning || task.failedOn.size() >= sound
           || task.notBefore + failedWorkerAvoidance <= now;
}

// The best candidate for a waiting task. Prefers a worker on which the task failed to one where
// filling and serving tasks harm each other, and waits for the former while it may not be used yet.
PlacementCandidate *candidateFor(Pool &pool, const jobs::Job &job, const jobs::Task &task,
                                 const jobs::StepSpec &step, const PlacementCounts &counts,
                                 TimePoint now)
{
    std::vector<PlacementCandidate> &candidates = pool.candidates;
    const bool mayRetry = mayRetryOnFailedWorker(task, step, candidates, now);
    const auto choose = [&](Sharing worst, LastResort lastResort) {
        PlacementLimits limits{.avoid = task.failedOn,
                               .worstSharing = worst,
                               .lastResort = lastResort,
                               .isSuspect = isSuspect(task)};
        PlacementCandidate *const found = chooseCandidate(candidates, step, counts, limits);
        if (found != nullptr || !mayRetry) {
            return found;
        }
        limits.avoid = {};
        return chooseCandidate(candidates, step, counts, limits);
    };
    PlacementCandidate *found = choose(Sharing::Paced, LastResort::None);
    if (found == nullptr && fillsOrServes(step) && (mayRetry || task.failedOn.empty())) {
        found = choose(Sharing::Harmful, LastResort::None);
    }
    if (found == nullptr && pool.hasDistrusted) {
        const LastResort lastResort = lastResortFor(job, task, step, candidates, now);
        if (lastResort != LastResort::None) {
            found = choose(Sharing::Harmful, lastResort);
        }
    }
    return found;
}

// Which of the waiting tasks of a step were placed.
struct PlacedTasks
{
    bool any = false;
    bool all = true;
};

PlacedTasks planTasks(Engine &engine, const StepRef &place, Pool &pool, AccountGates &gates,
                      TimePoint now)
{
    const jobs::StepSpec &step =
            place.job.submission.spec.steps[static_cast<std::size_t>(place.step)];
    if (!passesGate(engine, gates, place.job, step)) {
        return {};
    }
    PlacementCounts counts = needsCounts(step)
                                     ? countPlacements(engine, place.occurrence, place.step)
                                     : PlacementCounts{};
    auto &tasks = place.occurrence.steps[static_cast<std::size_t>(place.step)];
    PlacedTasks placed;
    bool onlyOverdue = false;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const jobs::Task &task = tasks[index];
        if (!jobs::isWaiting(task) || task.notBefore > now) {
            continue;
        }
        const bool isOverdue = pool.hasDistrusted && isHeldTooLong(task, now);
        if (onlyOverdue && !isOverdue && task.failedOn.empty()) {
            continue;
        }
        if (!passesGate(engine, gates, place.job, step)) {
            return placed;  // as tasks of the account end, the others follow
        }
        PlacementCandidate *const candidate =
                candidateFor(pool, place.job, task, step, counts, now);
        if (candidate != nullptr) {
            addAttempt(engine, place, index, task.lastRun + 1, *candidate, counts, now);
            placed.any = true;
            continue;
        }
        placed.all = false;
        if (pool.hasDistrusted && !onlyOverdue) {
            noteHeld(tasks, now);
        }
        // The other tasks of the step have the same needs. Only those that have been held for too
        // long have more workers.
        if (task.failedOn.empty()) {
            if (!pool.hasDistrusted || isOverdue) {
                return placed;
            }
            onlyOverdue = true;
        }
    }
    return placed;
}

// Indexes of the candidates for all tasks of a gang, or none if they don't all fit.
std::vector<std::size_t> candidatesForGang(const std::vector<PlacementCandidate> &candidates,
                                           const jobs::StepSpec &step, std::size_t count,
                                           const PlacementLimits &limits)
{
    std::vector<PlacementCandidate> trial = candidates;
    PlacementCounts counts;
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < count; ++i) {
        PlacementCandidate *const candidate = chooseCandidate(trial, step, counts, limits);
        if (candidate == nullptr) {
            return {};
        }
        candidate->freeCapacity -= capacityUsedBy(step);
        ++counts.onWorker[candidate->worker->entry.incarnation];
        chosen.push_back(static_cast<std::size_t>(candidate - trial.data()));
    }
    return chosen;
}

// The same, on one rack if the step asks for it and a rack has room.
std::vector<std::size_t> candidatesOnFewRacks(const std::vector<PlacementCandidate> &candidates,
                                              const jobs::StepSpec &step, std::size_t count,
                                              PlacementLimits limits)
{
    if (step.sameRack) {
        std::set<RackId> racks;
        for (const PlacementCandidate &candidate : candidates) {
            racks.insert(candidate.worker->entry.rack);
        }
        for (const RackId &rack : racks) {
            limits.rack = &rack;
            if (auto chosen = candidatesForGang(candidates, step, count, limits); !chosen.empty()) {
                return chosen;
            }
        }
        limits.rack = nullptr;
    }
    return candidatesForGang(candidates, step, count, limits);
}

PlacedTasks planGang(Engine &engine, const StepRef &place, Pool &pool, AccountGates &gates,
                     TimePoint now)
{
    std::vector<PlacementCandidate> &candidates = pool.candidates;
    const jobs::StepSpec &step =
            place.job.submission.spec.steps[static_cast<std::size_t>(place.step)];
    auto &tasks = place.occurrence.steps[static_cast<std::size_t>(place.step)];
    int run = 0;
    bool hasSuspect = false;
    std::string checkpoint;
    for (const jobs::Task &task : tasks) {
        if (!jobs::isWaiting(task) || task.notBefore > now) {
            return {};  // a member may still be running, or must wait
        }
        run = std::max(run, task.lastRun);
        hasSuspect = hasSuspect || isSuspect(task);
        checkpoint = checkpoint.empty() ? task.checkpoint : checkpoint;
    }
    if (!passesGateAsGang(engine, gates, place.job, step)) {
        return {};
    }
    PlacementLimits limits{.worstSharing = Sharing::Paced, .isSuspect = hasSuspect};
    std::vector<std::size_t> chosen = candidatesOnFewRacks(candidates, step, tasks.size(), limits);
    if (chosen.empty() && fillsOrServes(step)) {
        limits.worstSharing = Sharing::Harmful;
        chosen = candidatesOnFewRacks(candidates, step, tasks.size(), limits);
    }
    if (chosen.empty() && pool.hasDistrusted) {
        limits.worstSharing = Sharing::Harmful;
        limits.lastResort = lastResortForGang(place.job, tasks, step, candidates, now);
        if (limits.lastResort != LastResort::None) {
            chosen = candidatesOnFewRacks(candidates, step, tasks.size(), limits);
        }
        if (chosen.empty()) {
            noteHeld(tasks, now);
        }
    }
    if (chosen.empty()) {
        return {.any = false, .all = false};
    }
    PlacementCounts counts;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        tasks[index].checkpoint = checkpoint;
        addAttempt(engine, place, index, run + 1, candidates[chosen[index]], counts, now);
    }
    return {.any = true, .all = true};
}

// Whether the attempt is slow or its worker doesn't respond.
bool needsCopy(const Engine &engine, const jobs::Attempt &attempt, TimePoint now)
{
    const auto worker = engine.workers.find(attempt.worker);
    return attempt.isStraggler || attempt.startedAt + speculationDelay < now
           || worker == engine.workers.end()
           || worker->second.reachability != Reachability::Reachable;
}

// Plans copies of slow speculative tasks with the remaining capacity.
void planSpeculativeCopies(Engine &engine, Plan &plan, TimePoint now)
{
    for (jobs::Job *const each : engine.active) {
        jobs::Job &job = *each;
        if (!job.hasSpeculative || job.state != jobs::JobState::Running) {
            continue;
        }
        const auto own = plan.pools.find(serviceOf(engine, job));
        if (own == plan.pools.end()) {
            continue;
        }
        for (auto &[number, occurrence] : job.occurrences) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const jobs::StepSpec &step = job.submission.spec.steps[i];
                if (!step.speculative || step.longRunning || occurrence.remaining[i] == 0) {
                    continue;
                }
                const StepRef place{job, occurrence, number, static_cast<int>(i)};
                for (std::size_t index = 0; index < occurrence.steps[i].size(); ++index) {
                    const jobs::Task &task = occurrence.steps[i][index];
                    // A copy of a suspected task would endanger a second worker.
                    if (task.isDone || task.attempts.size() != 1 || isSuspect(task)
                        || !needsCopy(engine, task.attempts[0], now)
                        || !passesGate(engine, plan.gates, job, step)) {
                        continue;
                    }
                    PlacementCounts counts = countPlacements(engine, occurrence, place.step);
                    // A copy is not worth harming other tasks.
                    const WorkerIncarnation avoid[] = {task.attempts[0].worker};
                    PlacementCandidate *const candidate =
                            chooseCandidate(own->second.candidates, step, counts,
                                            {.avoid = avoid, .worstSharing = Sharing::Paced});
                    if (candidate != nullptr) {
                        addAttempt(engine, place, index, task.lastRun + 1, *candidate, counts, now);
                    }
                }
            }
        }
    }
}

// The largest free amount of each resource on any candidate.
jobs::Resources largestFreeCapacity(const std::vector<PlacementCandidate> &candidates)
{
    jobs::Resources largest;
    for (const PlacementCandidate &candidate : candidates) {
        largest.cpuMilli = std::max(largest.cpuMilli, candidate.freeCapacity.cpuMilli);
        largest.memoryMb = std::max(largest.memoryMb, candidate.freeCapacity.memoryMb);
        largest.gpus = std::max(largest.gpus, candidate.freeCapacity.gpus);
    }
    return largest;
}

}  // namespace

void planStarts(Engine &engine, TimePoint now)
{
    engine.needsPlan = false;
    if (!engine.mayStart) {
        return;
    }
    const std::map<ServiceId, std::vector<WaitingStep>> ranked = rankWaitingSteps(engine, now);
    std::vector<const ServiceId *> services;
    services.reserve(ranked.size());
    for (const auto &[service, steps] : ranked) {
        services.push_back(&service);
    }
    Plan plan;
    for (auto &[service, candidates] : placementCandidates(engine, services, now)) {
        plan.pools.emplace(service, poolOf(std::move(candidates)));
    }
    for (const auto &[service, steps] : ranked) {
        Pool &own = plan.pools.at(service);
        jobs::Resources largest = largestFreeCapacity(own.candidates);
        bool hasPlaced = false;  // since `largest` was computed
        for (const WaitingStep &waiting : steps) {
            const StepRef place{*waiting.job, waiting.job->occurrences.at(waiting.occurrence),
                                waiting.occurrence, waiting.step};
            const auto index = static_cast<std::size_t>(waiting.step);
            if (!capacityUsedBy(waiting.job->submission.spec.steps[index]).fits(largest)) {
                continue;
            }
            const PlacedTasks placed = waiting.job->submission.spec.steps[index].gang
                                               ? planGang(engine, place, own, plan.gates, now)
                                               : planTasks(engine, place, own, plan.gates, now);
            hasPlaced = hasPlaced || placed.any;
            // Capacity only shrinks during a plan. Without this, each of the many steps that no
            // longer fit visits all candidates.
            if (hasPlaced && !placed.all) {
                largest = largestFreeCapacity(own.candidates);
                hasPlaced = false;
            }
        }
    }
    planSpeculativeCopies(engine, plan, now);
    recordHolds(engine, plan.gates, now);
}

}  // namespace poplarstream::engine
