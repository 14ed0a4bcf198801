#include "poplarstream/engine/filler_pace.hpp"

#include <algorithm>  // for all_of, max
#include <vector>  // for vector

#include <fmt/format.h>  // for format

#include "poplarstream/engine/attempts.hpp"  // for findAttempt, stepOf, recordDecision

namespace poplarstream::engine {

namespace {

// The controller of paces ends harm within this time if a pace takes effect within `maxPaceDelay`.
constexpr Milliseconds shortestDisruption{4000};
constexpr Milliseconds maxPaceDelay{300};
// An effect below this, by two deviations, is none.
constexpr double negligibleEffect = 0.1;
constexpr double certainDeviations = 2;

bool isServing(const jobs::StepSpec &step)
{
    return step.target > Milliseconds{0};
}

// A serving task with its load, the tail latency as a part of the target.
struct Victim
{
    const std::string *image;
    double load;
};

struct FillerRun
{
    const AttemptRef *ref;
    jobs::Attempt *attempt;
    const std::string *image;
};

struct WorkerRuns
{
    std::vector<Victim> victims;
    std::vector<FillerRun> fillers;
};

// The serving tasks on the worker that have started up, and the filling ones that run.
WorkerRuns runsOn(Engine &engine, const Worker &worker)
{
    WorkerRuns runs;
    for (const auto &[ref, decisivePoll] : worker.attempts) {
        jobs::Attempt *const attempt = findAttempt(engine, ref);
        if (attempt == nullptr || attempt->phase != jobs::AttemptPhase::Running) {
            continue;
        }
        const jobs::StepSpec &step = stepOf(engine.jobs.at(ref.task.job), ref.task);
        if (isServing(step)) {
            if (attempt->percent >= jobs::readyPercent) {
                runs.victims.push_back(
                        {&step.image, static_cast<double>(attempt->load)
                                              / static_cast<double>(step.target.count())});
            }
        } else if (step.fills) {
            runs.fillers.push_back({&ref, attempt, &step.image});
        }
    }
    return runs;
}

std::optional<double> highestLoad(const std::vector<Victim> &victims)
{
    double highest = 0;
    for (const Victim &victim : victims) {
        highest = std::max(highest, victim.load);
    }
    return victims.empty() || highest > 0 ? std::optional(highest) : std::nullopt;
}

// Whether the image is known not to slow down any of the tasks that are over their target.
bool isHarmless(const Engine &engine, const std::string &image, const std::vector<Victim> &victims,
                TimePoint now)
{
    return std::all_of(victims.begin(), victims.end(), [&](const Victim &victim) {
        const interference::Estimate estimate =
                interference::estimateOf(engine.interference, *victim.image, image, now);
        return victim.load <= 1
               || estimate.effect + certainDeviations * estimate.deviation < negligibleEffect;
    });
}

void recordNoEffect(Engine &engine, const WorkerRuns &runs, TimePoint now)
{
    for (const Victim &victim : runs.victims) {
        for (const FillerRun &filler : runs.fillers) {
            if (victim.load > 1 && !victim.image->empty() && !filler.image->empty()) {
                interference::recordNoEffect(engine.interference, *victim.image, *filler.image,
                                             now);
            }
        }
    }
}

}  // namespace

bool arePacesInTime(const EngineLimits &limits)
{
    return limits.paceDelay > Milliseconds{0} && limits.paceDelay <= maxPaceDelay
           && limits.disruption >= shortestDisruption;
}

std::optional<double> highestLoad(Engine &engine, const Worker &worker)
{
    return highestLoad(runsOn(engine, worker).victims);
}

void paceFillers(Engine &engine, Worker &worker, TimePoint now)
{
    if (engine.limits.paceDelay <= Milliseconds{0} || worker.mix.filling == 0 || worker.isGone) {
        return;
    }
    const WorkerRuns runs = runsOn(engine, worker);
    const std::optional<double> load = highestLoad(runs.victims);
    std::vector<interference::Filler> fillers;
    for (const FillerRun &filler : runs.fillers) {
        fillers.push_back({filler.attempt->pacePercent,
                           load > 1.0 && isHarmless(engine, *filler.image, runs.victims, now)});
    }
    const interference::PaceDecision decision =
            interference::decidePaces(worker.paceControl, load, fillers, now);
    if (decision.isNoEffect) {
        recordNoEffect(engine, runs, now);
    }
    for (std::size_t i = 0; i < decision.percents.size(); ++i) {
        if (!decision.percents[i]) {
            continue;
        }
        const int percent = *decision.percents[i];
        jobs::Attempt &attempt = *runs.fillers[i].attempt;
        const AttemptRef &ref = *runs.fillers[i].ref;
        const bool isFull = percent == jobs::fullPacePercent;
        const bool wasFull = attempt.pacedSince == TimePoint{};
        if (isFull && !wasFull) {
            attempt.pacedSince = {};
            attempt.progressedAt = now;  // it could not make progress before
        } else if (!isFull && wasFull) {
            attempt.pacedSince = now;
        }
        // The steps between are not logged.
        if (isFull != wasFull) {
            recordDecision(engine, DecisionKind::TaskPaced, ref, worker.entry.incarnation.id,
                           fmt::format("percent={} from={} load={:.2f} no_effect={}", percent,
                                       attempt.pacePercent, load.value_or(0),
                                       decision.isNoEffect ? "yes" : "no"));
        }
        ++engine.paceCommands;
        engine.commands.emplace_back(
                PaceCommand{targetOf(engine, worker), ref.task, ref.run, percent});
    }
}

void handlePaceResult(Engine &engine, const PaceCommand &pace, StopResult result, TimePoint now)
{
    Worker *const worker = findWorker(engine, pace.target.worker);
    jobs::Attempt *const attempt = findAttempt(engine, {pace.task, pace.run});
    if (worker == nullptr || worker->isGone) {
        return;
    }
    if (attempt != nullptr && attempt->worker == pace.target.worker) {
        attempt->pacePercent = result == StopResult::Accepted ? pace.percent : jobs::unknownPace;
    }
    if (result == StopResult::Accepted) {
        return;
    }
    if (result == StopResult::Unknown) {
        // The worker may still carry it out, after a newer one, unless it sees a higher token.
        invalidateSentCommands(engine, *worker);
    }
    // Shows which incarnation is there and what runs.
    worker->wantsPromptPoll = true;
    worker->nextPollAt = now;
}

}  // namespace poplarstream::engine
