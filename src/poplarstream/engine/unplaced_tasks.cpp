#include "poplarstream/engine/unplaced_tasks.hpp"

#include <algorithm>  // for count_if, find_if, max
#include <utility>  // for move

#include <fmt/format.h>  // for format

#include "poplarstream/engine/attempts.hpp"  // for capacityUsedBy, recordDecision
#include "poplarstream/engine/placement_report.hpp"  // for reportPlacement, mainObstacle
#include "poplarstream/engine/ranking.hpp"  // for serviceOf
#include "poplarstream/jobs/queries.hpp"  // for countDue, isFinal, isStepReady, isWaiting

namespace poplarstream::engine {

namespace {

// A task that waits longer than this although there is room is reported.
constexpr Milliseconds reportedWait{3000};
constexpr Milliseconds reviewInterval{1000};
// Workers that one review looks at, over all steps. Bounds its time.
constexpr std::size_t maxWorkerVisits = 10'000;

bool isUnplaced(const PlacementReport &report, const jobs::StepSpec &step)
{
    return step.gang ? report.slots >= step.count : report.withRoom > 0;
}

// The first waiting task of a step.
TaskRef firstWaiting(const jobs::Job &job, const StepPlace &place)
{
    const auto &tasks =
            job.occurrences.at(place.occurrence).steps.at(static_cast<std::size_t>(place.step));
    const auto found = std::find_if(tasks.begin(), tasks.end(), jobs::isWaiting);
    return {place.job, place.occurrence, place.step, static_cast<int>(found - tasks.begin())};
}

void recordUnplaced(Engine &engine, const jobs::Job &job, const StepPlace &place,
                    const PlacementReport &report, TimePoint since, TimePoint now)
{
    engine.tasksUnplaced += static_cast<std::uint64_t>(report.waiting);
    recordDecision(engine, DecisionKind::TaskUnplaced, {firstWaiting(job, place), 0}, {},
                   fmt::format("tasks={} waits_ms={} workers={} with_room={}{}", report.waiting,
                               (now - since).count(), report.workers, report.withRoom,
                               obstacleFields(report)));
}

// The largest free amount of each resource on any worker of a service.
jobs::Resources largestFreeCapacity(const Engine &engine, const ServiceId &service)
{
    jobs::Resources largest;
    for (const auto &[incarnation, worker] : engine.workers) {
        if (worker.entry.service == service && worker.isListed && !worker.isGone) {
            const jobs::Resources &capacity = worker.entry.capacity;
            largest.cpuMilli = std::max(largest.cpuMilli, capacity.cpuMilli - worker.used.cpuMilli);
            largest.memoryMb = std::max(largest.memoryMb, capacity.memoryMb - worker.used.memoryMb);
            largest.gpus = std::max(largest.gpus, capacity.gpus - worker.used.gpus);
        }
    }
    return largest;
}

// One pass over the waiting steps.
struct Review
{
    std::map<ServiceId, jobs::Resources> largest;
    std::map<StepPlace, UnplacedStep> unplaced;
    std::size_t visits = 0;
};

void reviewStep(Engine &engine, Review &review, const jobs::Job &job, const StepPlace &place,
                TimePoint now)
{
    const jobs::StepSpec &step = job.submission.spec.steps.at(static_cast<std::size_t>(place.step));
    const ServiceId &service = serviceOf(engine, job);
    const auto [largest, isNew] = review.largest.try_emplace(service);
    if (isNew) {
        largest->second = largestFreeCapacity(engine, service);
    }
    if (!capacityUsedBy(step).fits(largest->second) || review.visits >= maxWorkerVisits) {
        return;
    }
    review.visits += engine.workers.size();
    const PlacementReport report = reportPlacement(engine, job, place.occurrence, place.step, now);
    if (!isUnplaced(report, step)) {
        return;
    }
    const auto known = engine.unplaced.find(place);
    UnplacedStep entry = known == engine.unplaced.end() ? UnplacedStep{now} : known->second;
    entry.service = service;
    entry.cause = mainObstacle(report);
    if (entry.tasks == 0 && entry.since + reportedWait <= now) {
        entry.tasks = report.waiting;
        recordUnplaced(engine, job, place, report, entry.since, now);
    }
    review.unplaced[place] = entry;
}

}  // namespace

void reviewUnplacedTasks(Engine &engine, TimePoint now)
{
    if (now < engine.unplacedReviewedAt + reviewInterval) {
        return;
    }
    engine.unplacedReviewedAt = now;
    Review review;
    if (engine.mayStart) {
        for (const jobs::Job *const job : engine.waiting) {
            if (jobs::isFinal(job->state) || job->isHeld
                || engine.capHolds.contains(job->submission.account)) {
                continue;
            }
            for (const auto &[number, occurrence] : job->occurrences) {
                for (std::size_t i = 0; !occurrence.isDone && i < occurrence.steps.size(); ++i) {
                    const int step = static_cast<int>(i);
                    if (occurrence.remaining[i] > 0 && jobs::isStepReady(*job, occurrence, step)
                        && jobs::countDue(occurrence.steps[i], now) > 0) {
                        reviewStep(engine, review, *job, {job->submission.id, number, step}, now);
                    }
                }
            }
        }
    }
    engine.unplaced = std::move(review.unplaced);
}

std::size_t reportedSteps(const Engine &engine)
{
    return static_cast<std::size_t>(
            std::count_if(engine.unplaced.begin(), engine.unplaced.end(),
                          [](const auto &entry) { return entry.second.tasks > 0; }));
}

std::map<std::pair<ServiceId, std::string>, Milliseconds> longestWaits(const Engine &engine,
                                                                       TimePoint now)
{
    std::map<std::pair<ServiceId, std::string>, Milliseconds> longest;
    for (const auto &[place, step] : engine.unplaced) {
        Milliseconds &wait = longest[{step.service, step.cause}];
        wait = std::max(wait, now - step.since);
    }
    return longest;
}

}  // namespace poplarstream::engine
