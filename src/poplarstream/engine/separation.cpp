#include "poplarstream/engine/separation.hpp"

#include <algorithm>  // for any_of, max
#include <vector>  // for vector

#include <fmt/format.h>  // for format

#include "poplarstream/engine/account_caps.hpp"  // for mayRestart
#include "poplarstream/engine/attempts.hpp"  // for findAttempt, stepOf, stopAttempt
#include "poplarstream/engine/evacuation.hpp"  // for otherTasksNotReady
#include "poplarstream/engine/filler_pace.hpp"  // for arePacesInTime, highestLoad
#include "poplarstream/engine/placement.hpp"  // for chooseCandidate, countPlacements
#include "poplarstream/engine/ranking.hpp"  // for serviceOf
#include "poplarstream/jobs/queries.hpp"  // for findTask

namespace poplarstream::engine {

namespace {

// A move costs a stop and a start, which together take about two seconds of work. A pace that was
// low for less time than this may soon be full again.
constexpr Milliseconds lowPaceTolerance{10'000};
// A task that has just started is not moved again.
constexpr Milliseconds shortestStay{15'000};
constexpr Milliseconds separationInterval{1000};
// Where no pace acts in time, a target that is missed for longer than this stops the filling tasks.
// A stop and the reports of the worker take up to 2 s more, and a target may be missed for 4 s.
constexpr Milliseconds missedTolerance{1000};
// A task that was stopped so rests for this time, unless it has room elsewhere: less than the 9 s
// that a lasting task may be away.
constexpr Milliseconds restAfterHarm{4000};

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
    const PlacementCounts counts =
            countPlacements(engine, job.occurrences.at(ref.task.occurrence), ref.task.step);
    const WorkerIncarnation avoid[] = {worker};
    return chooseCandidate(candidates, stepOf(job, ref.task), counts,
                           {.avoid = avoid, .worstSharing = Sharing::None})
           != nullptr;
}

// Whether the task runs, and may be stopped to spare serving tasks. Gangs and tasks that end by
// themselves would lose their work.
bool mayBeStopped(Engine &engine, const AttemptRef &ref, TimePoint now)
{
    const jobs::Job &job = engine.jobs.at(ref.task.job);
    const jobs::StepSpec &step = stepOf(job, ref.task);
    const jobs::Attempt *const attempt = findAttempt(engine, ref);
    if (!step.fills || step.target > Milliseconds{0} || !step.longRunning || step.gang
        || attempt == nullptr || attempt->phase != jobs::AttemptPhase::Running) {
        return false;
    }
    const int missing =
            otherTasksNotReady(engine, job.occurrences.at(ref.task.occurrence), ref.task, now);
    return missing < std::max(step.mayMiss, 1) && mayRestart(engine, job, step);
}

bool shouldMove(Engine &engine, const Worker &worker, const AttemptRef &ref, TimePoint now)
{
    const jobs::Job &job = engine.jobs.at(ref.task.job);
    const jobs::StepSpec &step = stepOf(job, ref.task);
    const jobs::Attempt *const attempt = findAttempt(engine, ref);
    if (attempt == nullptr || attempt->confirmedAt + shortestStay > now) {
        return false;
    }
    const bool isPaced = attempt->pacedSince != TimePoint{};
    const bool isLong = isPaced && attempt->pacedSince + lowPaceTolerance <= now;
    const bool isOver = highestLoad(engine, worker).value_or(0) > 1;
    if (!isLong && !((isPaced || isOver) && harmsNeighbour(engine, worker, step))) {
        return false;
    }
    return mayBeStopped(engine, ref, now)
           && hasOtherRoom(engine, job, ref, worker.entry.incarnation, now);
}

void recordSeparation(Engine &engine, const Worker &worker, const AttemptRef &ref, TimePoint now)
{
    const jobs::Attempt &attempt = *findAttempt(engine, ref);
    ++engine.tasksSeparated;
    recordDecision(engine, DecisionKind::TaskSeparated, ref, worker.entry.incarnation.id,
                   fmt::format("pace={} paced_ms={} missed_ms={}", attempt.pacePercent,
                               ageMs(attempt.pacedSince, now),
                               ageMs(worker.targetMissedSince, now)));
}

// Stops the filling tasks on a worker, and lets those without other room rest.
void stopFillers(Engine &engine, const Worker &worker, TimePoint now)
{
    const auto attempts = worker.attempts;
    for (const auto &[ref, decisivePoll] : attempts) {
        if (!mayBeStopped(engine, ref, now)) {
            continue;
        }
        const bool hasRoom = hasOtherRoom(engine, engine.jobs.at(ref.task.job), ref,
                                          worker.entry.incarnation, now);
        if (!hasRoom) {
            jobs::findTask(engine.jobs.at(ref.task.job), ref.task)->notBefore = now + restAfterHarm;
        }
        recordSeparation(engine, worker, ref, now);
        stopAttempt(engine, ref, now);
    }
}

}  // namespace

void noteTargets(Engine &engine, Worker &worker, TimePoint now)
{
    const bool isMissed = worker.mix.serving > 0 && highestLoad(engine, worker).value_or(0) > 1;
    if (!isMissed) {
        worker.targetMissedSince = {};
        return;
    }
    if (worker.targetMissedSince == TimePoint{}) {
        worker.targetMissedSince = now;
    }
    if (worker.mix.filling > 0 && now >= worker.targetMissedSince + missedTolerance
        && !arePacesInTime(engine.limits) && engine.mayStart) {
        stopFillers(engine, worker, now);
    }
}

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
                recordSeparation(engine, worker, moved, now);
                stopAttempt(engine, moved, now);
                return;
            }
        }
    }
}

}  // namespace poplarstream::engine
