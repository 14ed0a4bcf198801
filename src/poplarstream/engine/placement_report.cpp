#include "poplarstream/engine/placement_report.hpp"

#include <algorithm>  // for find_if
#include <vector>  // for vector

#include <fmt/format.h>  // for format, format_to
#include <fmt/ranges.h>  // for join

#include "poplarstream/engine/attempts.hpp"  // for capacityUsedBy
#include "poplarstream/engine/ranking.hpp"  // for serviceOf
#include "poplarstream/jobs/queries.hpp"  // for countDue, isWaiting

namespace poplarstream::engine {

namespace {

struct ObstacleName
{
    PlacementObstacle obstacle;
    std::string_view key;  // in the log
    std::string_view sentence;  // after "N of them"
};

constexpr ObstacleName obstacleNames[] = {
        {PlacementObstacle::None, "free", "can take it now"},
        {PlacementObstacle::Unreachable, "unreachable", "do not respond to this owner"},
        {PlacementObstacle::Draining, "draining", "are about to leave"},
        {PlacementObstacle::Cordoned, "cordoned", "are being emptied for maintenance or a move"},
        {PlacementObstacle::UnknownRuns, "unknown_runs", "still run tasks of no known job"},
        {PlacementObstacle::Quarantined, "quarantined", "are in quarantine after failures"},
        {PlacementObstacle::Probation, "probation", "have just been tried after a quarantine"},
        {PlacementObstacle::Failed, "failed_there", "have just failed one of its tasks"},
};

// How many tasks of the step fit on the candidate, at most `limit`.
int slotsAt(const PlacementCandidate &candidate, const jobs::StepSpec &step,
            const PlacementCounts &counts, int limit)
{
    PlacementCandidate remaining = candidate;
    PlacementCounts taken = counts;
    int slots = 0;
    while (slots < limit && hasRoomFor(remaining, step, taken)) {
        remaining.freeCapacity -= capacityUsedBy(step);
        ++taken.onWorker[candidate.worker->entry.incarnation];
        ++slots;
    }
    return slots;
}

}  // namespace

PlacementReport reportPlacement(Engine &engine, const jobs::Job &job, int occurrence, int step,
                                TimePoint now)
{
    const jobs::StepSpec &spec = job.submission.spec.steps.at(static_cast<std::size_t>(step));
    const jobs::Occurrence &place = job.occurrences.at(occurrence);
    const auto &tasks = place.steps.at(static_cast<std::size_t>(step));
    PlacementReport report;
    report.waiting = jobs::countDue(tasks, now);
    const PlacementCounts counts =
            needsCounts(spec) ? countPlacements(engine, place, step) : PlacementCounts{};
    const auto first = std::find_if(tasks.begin(), tasks.end(), jobs::isWaiting);
    const std::vector<WorkerIncarnation> failedOn =
            first == tasks.end() ? std::vector<WorkerIncarnation>{} : first->failedOn;
    for (const PlacementCandidate &candidate : listedWorkers(engine, serviceOf(engine, job), now)) {
        ++report.workers;
        const int slots = slotsAt(candidate, spec, counts, report.waiting);
        if (slots > 0) {
            ++report.withRoom;
            report.slots += slots;
            ++report.obstacles[obstacleAt(candidate, failedOn, now)];
        }
    }
    return report;
}

std::string mainObstacle(const PlacementReport &report)
{
    std::string_view main;
    int most = 0;
    for (const ObstacleName &name : obstacleNames) {
        const auto found = report.obstacles.find(name.obstacle);
        if (found != report.obstacles.end() && found->second > most) {
            main = name.key;
            most = found->second;
        }
    }
    return std::string(main);
}

std::string obstacleFields(const PlacementReport &report)
{
    std::string text;
    for (const ObstacleName &name : obstacleNames) {
        if (const auto found = report.obstacles.find(name.obstacle);
            found != report.obstacles.end()) {
            fmt::format_to(std::back_inserter(text), " {}={}", name.key, found->second);
        }
    }
    return text;
}

std::string obstacleSentence(const PlacementReport &report)
{
    std::vector<std::string> parts;
    for (const ObstacleName &name : obstacleNames) {
        if (const auto found = report.obstacles.find(name.obstacle);
            found != report.obstacles.end()) {
            parts.push_back(fmt::format("{} {}", found->second, name.sentence));
        }
    }
    return fmt::format("{}", fmt::join(parts, ", "));
}

}  // namespace poplarstream::engine
