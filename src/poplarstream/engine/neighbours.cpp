#include "poplarstream/engine/neighbours.hpp"

#include <utility>  // for exchange, move
#include <vector>  // for vector

#include <fmt/format.h>  // for format

#include "poplarstream/engine/attempts.hpp"  // for findAttempt, stepOf, recordDecision

namespace poplarstream::engine {

namespace {

constexpr Milliseconds figurePeriod{400};  // half a second less the variation of the polls
constexpr double fullPace = jobs::fullPacePercent;

struct Present
{
    const AttemptRef *ref;
    const jobs::Attempt *attempt;
    const jobs::StepSpec *step;
};

// The tasks on the worker that serve or fill, with an image, and have started up. A task whose pace
// was lowered has started up before.
std::vector<Present> tasksPresent(Engine &engine, const Worker &worker)
{
    std::vector<Present> present;
    for (const auto &[ref, decisivePoll] : worker.attempts) {
        const jobs::Attempt *const attempt = findAttempt(engine, ref);
        if (attempt == nullptr || attempt->phase == jobs::AttemptPhase::Planned) {
            continue;
        }
        const jobs::StepSpec &step = stepOf(engine.jobs.at(ref.task.job), ref.task);
        const bool isUp = !step.longRunning || attempt->percent >= jobs::readyPercent
                          || (step.fills && attempt->pacePercent != jobs::fullPacePercent);
        if (isUp && !step.image.empty() && (step.fills || step.target > Milliseconds{0})) {
            present.push_back({&ref, attempt, &step});
        }
    }
    return present;
}

std::vector<interference::Neighbour> neighboursOf(const Present &victim,
                                                  const std::vector<Present> &present)
{
    std::map<std::string, interference::Neighbour> byImage;
    for (const Present &other : present) {
        if (other.ref == victim.ref) {
            continue;
        }
        interference::Neighbour &neighbour = byImage[other.step->image];
        neighbour.image = other.step->image;
        ++neighbour.count;
        // A pace that is not known counts as full; the samples until it is set are few.
        neighbour.share += other.attempt->pacePercent == jobs::unknownPace
                                   ? 1.0
                                   : other.attempt->pacePercent / fullPace;
    }
    std::vector<interference::Neighbour> neighbours;
    neighbours.reserve(byImage.size());
    for (auto &[image, neighbour] : byImage) {
        neighbours.push_back(std::move(neighbour));
    }
    return neighbours;
}

}  // namespace

void observeNeighbours(Engine &engine, Worker &worker, TimePoint now)
{
    if (worker.mix.serving == 0 || worker.mix.images.empty()
        || now < worker.observedAt + figurePeriod) {
        return;
    }
    worker.observedAt = now;
    const std::vector<Present> present = tasksPresent(engine, worker);
    for (const Present &victim : present) {
        if (victim.step->target <= Milliseconds{0}) {
            continue;
        }
        interference::Sample sample;
        sample.task = victim.ref->task;
        sample.run = victim.ref->run;
        sample.worker = worker.entry.incarnation;
        sample.image = victim.step->image;
        sample.tailMs = static_cast<double>(victim.attempt->load);
        sample.isReady = true;
        sample.isOverloaded = !worker.used.fits(worker.entry.capacity);
        sample.neighbours = neighboursOf(victim, present);
        interference::learn(engine.interference, sample, now);
    }
}

void reviewNeighbours(Engine &engine, TimePoint now)
{
    interference::clean(engine.interference, now);
    for (const interference::PairChange &change : std::exchange(engine.interference.changes, {})) {
        recordDecision(engine,
                       change.isHarmful ? DecisionKind::PairNamed : DecisionKind::PairForgotten, {},
                       {},
                       fmt::format("victim={:.80} neighbour={:.80} effect={:.2f} deviation={:.2f}",
                                   change.victim, change.neighbour, change.estimate.effect,
                                   change.estimate.deviation));
    }
}

}  // namespace poplarstream::engine
