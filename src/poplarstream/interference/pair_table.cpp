#include "poplarstream/interference/pair_table.hpp"

#include <algorithm>  // for all_of, clamp, find_if, min
#include <cmath>  // for log, abs

#include "poplarstream/interference/pair_evidence.hpp"  // for addEvidence, evidenceOf, square

namespace poplarstream::interference {

namespace {

// Tails follow a change of the neighbours within this time.
constexpr Milliseconds settling{1000};
// A mean of so many figures is compared with another one. Where a pace ends a situation early, so
// many have to do.
constexpr int comparableSamples = 4;
constexpr int earlySamples = 2;
constexpr int maxSamples = 12;  // what a mean remembers, so that it follows changes
constexpr int aloneSamples = 50;  // the same for the baseline of an image
// Standard deviations of logarithms: of one figure, of what changes within seconds without any
// neighbour (a mean of figures in a row cannot be more exact), and between workers.
constexpr double figureDeviation = 0.25;
constexpr double driftDeviation = 0.15;
constexpr double workerDeviation = 0.35;
// Each worker contributes one comparison with other workers in this time, since repeated ones would
// only confirm how fast the worker itself is. For the same reason, one counts no more than
// `maxWorkerEffect` while the speed of the worker is not known.
constexpr Milliseconds workerInterval = evidenceMemory;
constexpr double maxWorkerEffect = 0.5;
// A situation without a report for this long has ended.
constexpr Milliseconds situationMemory{10'000};
constexpr Milliseconds cleaningInterval{1000};
constexpr std::size_t maxImages = 256;
constexpr std::size_t maxWorkers = 1024;
constexpr std::size_t maxSituations = 4096;
constexpr std::size_t maxComparedWorkers = 64;  // of a pair
constexpr double fullShare = 0.75;  // a pace above this counts as full

void addTo(TailMean &mean, double value, int remembered, TimePoint now)
{
    mean.samples = std::min(mean.samples + 1, remembered);
    mean.value += (value - mean.value) / mean.samples;
    mean.updatedAt = now;
}

double varianceOf(const TailMean &mean)
{
    return square(figureDeviation) / mean.samples + square(driftDeviation);
}

const Neighbour *find(const std::vector<Neighbour> &neighbours, const std::string &image)
{
    const auto found = std::find_if(neighbours.begin(), neighbours.end(),
                                    [&](const Neighbour &each) { return each.image == image; });
    return found == neighbours.end() ? nullptr : &*found;
}

// Tasks of an image that came or went.
struct Change
{
    std::string image;
    double share = 0;
};

// Images of which tasks came or went. A pace that changed is left out: it is lowered because the
// tail is high, and the tail of the seconds after it, which are high as well, would show less harm
// than there is.
std::vector<Change> changesBetween(const std::vector<Neighbour> &before,
                                   const std::vector<Neighbour> &after)
{
    std::vector<Change> changes;
    const auto add = [&](const std::string &image, const Neighbour *was, const Neighbour *is) {
        const double share = (is == nullptr ? 0 : is->share) - (was == nullptr ? 0 : was->share);
        const int count = (is == nullptr ? 0 : is->count) - (was == nullptr ? 0 : was->count);
        if (share != 0 && count != 0) {
            changes.push_back({image, share});
        }
    };
    for (const Neighbour &is : after) {
        add(is.image, find(before, is.image), &is);
    }
    for (const Neighbour &was : before) {
        if (find(after, was.image) == nullptr) {
            add(was.image, &was, nullptr);
        }
    }
    return changes;
}

// Compares the tail before and after a change of the neighbours. The worker is the same, so its own
// speed cancels out. Several changes at once share the evidence.
void compareWithPrevious(PairTable &table, Situation &situation, TimePoint now)
{
    situation.isCompared = true;
    if (situation.previousTail.samples < comparableSamples) {
        return;
    }
    const std::vector<Change> changes =
            changesBetween(situation.previousNeighbours, situation.neighbours);
    const double difference = situation.tail.value - situation.previousTail.value;
    const double variance = varianceOf(situation.tail) + varianceOf(situation.previousTail);
    double total = 0;  // how much of all images came or went
    for (const Change &change : changes) {
        total += std::abs(change.share);
    }
    for (const Change &change : changes) {
        const double part = std::abs(change.share) / total;
        const double perTask = difference * part / change.share;
        addEvidence(table, {situation.image, change.image}, perTask,
                    variance / square(change.share * part), now);
    }
}

// Compares the tail with that of the image on workers without neighbours.
void compareWithOthers(PairTable &table, const Situation &situation,
                       const jobs::WorkerIncarnation &worker, TimePoint now)
{
    const auto alone = table.alone.find(situation.image);
    if (alone == table.alone.end() || alone->second.samples < comparableSamples) {
        return;
    }
    const auto own = table.workers.find(worker);
    const bool isWorkerKnown =
            own != table.workers.end() && own->second.samples >= comparableSamples;
    const double slowdown = situation.tail.value - alone->second.value;
    const double difference = isWorkerKnown
                                      ? slowdown - own->second.value
                                      : std::clamp(slowdown, -maxWorkerEffect, maxWorkerEffect);
    double total = 0;
    for (const Neighbour &neighbour : situation.neighbours) {
        total += neighbour.share;
    }
    const double variance =
            varianceOf(situation.tail) + square(isWorkerKnown ? driftDeviation : workerDeviation);
    for (const Neighbour &neighbour : situation.neighbours) {
        if (neighbour.share < fullShare) {
            continue;
        }
        const ImagePair pair{situation.image, neighbour.image};
        auto &comparedOn = evidenceOf(table, pair, now).comparedOn;
        const auto last = comparedOn.find(worker);
        const bool isRecent = last != comparedOn.end() && last->second + workerInterval > now;
        if (isRecent || (last == comparedOn.end() && comparedOn.size() >= maxComparedWorkers)) {
            continue;
        }
        comparedOn[worker] = now;
        const double part = neighbour.share / total;
        addEvidence(table, pair, difference * part / neighbour.share,
                    variance / square(neighbour.share * part), now);
    }
}

void learnAlone(PairTable &table, const Sample &sample, double tail, TimePoint now)
{
    if (table.alone.size() >= maxImages && table.alone.count(sample.image) == 0) {
        return;
    }
    TailMean &alone = table.alone[sample.image];
    // One slow worker must not shift the baseline of all.
    const double step = std::clamp(tail - alone.value, -workerDeviation, workerDeviation);
    addTo(alone, alone.samples == 0 ? tail : alone.value + step, aloneSamples, now);
    if (table.workers.size() < maxWorkers || table.workers.count(sample.worker) > 0) {
        addTo(table.workers[sample.worker], tail - alone.value, maxSamples, now);
    }
}

void enter(PairTable &table, Situation &situation, const Sample &sample, TimePoint now)
{
    if (!situation.isCompared && situation.tail.samples >= earlySamples) {
        compareWithPrevious(table, situation, now);
    }
    if (situation.tail.samples >= comparableSamples) {
        situation.previousNeighbours = std::move(situation.neighbours);
        situation.previousTail = situation.tail;
    } else if (situation.previousTail.updatedAt + situationMemory < now) {
        situation.previousTail = {};
    }
    situation.neighbours = sample.neighbours;
    situation.since = now;
    situation.tail = {};
    situation.isCompared = false;
}

}  // namespace

void learn(PairTable &table, const Sample &sample, TimePoint now)
{
    const std::pair<jobs::TaskRef, int> key{sample.task, sample.run};
    if (!sample.isReady || sample.isOverloaded || sample.tailMs <= 0 || sample.image.empty()) {
        table.situations.erase(key);
        return;
    }
    const auto found = table.situations.find(key);
    const bool isNew =
            found == table.situations.end() || found->second.tail.updatedAt + situationMemory < now;
    if (isNew && found == table.situations.end() && table.situations.size() >= maxSituations) {
        return;
    }
    if (isNew) {
        Situation situation;
        situation.image = sample.image;
        situation.neighbours = sample.neighbours;
        situation.since = now;
        situation.tail.updatedAt = now;
        table.situations[key] = std::move(situation);
        return;
    }
    Situation &situation = found->second;
    if (situation.neighbours != sample.neighbours) {
        enter(table, situation, sample, now);
        situation.tail.updatedAt = now;
    }
    if (now < situation.since + settling) {
        return;
    }
    const double tail = std::log(sample.tailMs);
    addTo(situation.tail, tail, maxSamples, now);
    if (situation.tail.samples == comparableSamples && !situation.isCompared) {
        compareWithPrevious(table, situation, now);
    }
    const bool isAlone = std::all_of(sample.neighbours.begin(), sample.neighbours.end(),
                                     [](const Neighbour &each) { return each.share == 0; });
    if (isAlone) {
        learnAlone(table, sample, tail, now);
    } else if (situation.tail.samples == maxSamples) {
        compareWithOthers(table, situation, sample.worker, now);
    }
}

void clean(PairTable &table, TimePoint now)
{
    if (now < table.cleanedAt + cleaningInterval) {
        return;
    }
    table.cleanedAt = now;
    std::erase_if(table.situations, [now](const auto &each) {
        return each.second.tail.updatedAt + situationMemory < now;
    });
    std::erase_if(table.workers,
                  [now](const auto &each) { return each.second.updatedAt + evidenceMemory < now; });
    std::erase_if(table.alone,
                  [now](const auto &each) { return each.second.updatedAt + evidenceMemory < now; });
    for (auto &[pair, evidence] : table.pairs) {
        std::erase_if(evidence.comparedOn,
                      [now](const auto &each) { return each.second + workerInterval <= now; });
    }
    cleanPairs(table, now);
}

}  // namespace poplarstream::interference
