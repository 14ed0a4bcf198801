#include "poplarstream/engine/separation.hpp"

#include <algorithm>  // for any_of, max
#include <vector>  // for vector

#include <fmt/format.h>  // for format

#include "poplarstream/engine/account_caps.hpp"  // for mayRestart
#include "poplarstream/engine/attempts.hpp"  // for findAttempt, stepOf, stopAttempt
#include "poplarstream/engine/evacuation.hpp"  // for otherTasksNotReady
#include "poplarstream/engine/filler_pace.hpp"  // for highestLoad
#include "poplarstream/engine/placement.hpp"  // for chooseCandidate, countPlacements
#include "poplarstream/engine/ranking.hpp"  // for serviceOf

namespace poplarstream::engine {

namespace {

// A move costs a stop and a start, which together take about two seconds of work. A pace that was
// low for less time than this may soon be full again.
constexpr Milliseconds lowPaceTolerance{10'000};
// A task that has just started is not moved again.
constexpr Milliseconds shortestStay{15'000};
constexpr Milliseconds separationInterval{1000};

// Whether the task is known to slow down a serving task on its worker.
bool harmsNeighbour(const Engine &engine, const Worker &worker, const jobs::StepSpec &step)
{
    return std::any_of(worker.mix.images.begin(), worker.mix.images.end(), [&](const auto &each) {
        return interference::isHarmful(engine.interference, each.first, step.image);
    });
}

// Whether a worker without serving tasks has free capacity for the task.
bool hasOtherRoom(Engine &engine, const jobs::Job &job, const AttemptRef &ref,
                  const WorkerIncarnation &worker, TimePoint now)
{
    std::vector<PlacementCandidate> candidates =
            placementCandidates(engine, serviceOf(engine, job), now);
    for (PlacementCandidate &candidate : candidates) {
        candidate.mayShare = false;
    }
    const PlacementCounts counts =
            countPlacements(engine, job.occurrences.at(ref.task.occurrence), ref.task.step);
    return chooseCandidate(candidates, stepOf(job, ref.task), counts, {worker}, nullptr) != nullptr;
}

bool shouldMove(Engine &engine, const Worker &worker, const AttemptRef &ref, TimePoint now)
{
    const jobs::Job &job = engine.jobs.at(ref.task.job);
    const jobs::StepSpec &step = stepOf(job, ref.task);
    const jobs::Attempt *const attempt = findAttempt(engine, ref);
    if (!step.fills || step.target > Milliseconds{0} || !step.longRunning || step.gang
        || attempt == nullptr || attempt->phase != jobs::AttemptPhase::Running
        || attempt->confirmedAt + shortestStay > now) {
        return false;
    }
    const bool isPaced = attempt->pacedSince != TimePoint{};
    const bool isLong = isPaced && attempt->pacedSince + lowPaceTolerance <= now;
    const bool isOver = highestLoad(engine, worker).value_or(0) > 1;
    if (!isLong && !((isPaced || isOver) && harmsNeighbour(engine, worker, step))) {
        return false;
    }
    const int missing =
            otherTasksNotReady(engine, job.occurrences.at(ref.task.occurrence), ref.task, now);
    return missing < std::max(step.mayMiss, 1) && mayRestart(engine, job, step)
           && hasOtherRoom(engine, job, ref, worker.entry.incarnation, now);
}

}  // namespace

void separateFillers(Engine &engine, TimePoint now)
{
    if (now < engine.separatedAt + separationInterval || !engine.mayStart) {
        return;
    }
    for (const auto &[incarnation, worker] : engine.workers) {
        if (worker.mix.filling == 0 || worker.mix.serving == 0 || worker.isGone
            || worker.reachability != Reachability::Reachable) {
            continue;
        }
        for (const auto &[ref, decisivePoll] : worker.attempts) {
            if (shouldMove(engine, worker, ref, now)) {
                const AttemptRef moved = ref;
                engine.separatedAt = now;
                ++engine.tasksSeparated;
                recordDecision(engine, DecisionKind::TaskSeparated, moved, incarnation.id,
                               fmt::format("pace={} paced_ms={}",
                                           findAttempt(engine, moved)->pacePercent,
                                           ageMs(findAttempt(engine, moved)->pacedSince, now)));
                stopAttempt(engine, moved, now);
                return;
            }
        }
    }
}

}  // namespace poplarstream::engine
