#include "poplarstream/interference/pair_evidence.hpp"

#include <algorithm>  // for clamp, min_element
#include <cmath>  // for exp, sqrt
#include <iterator>  // for next

namespace poplarstream::interference {

namespace {

// Without evidence an effect is assumed to be around 0 with this deviation.
constexpr double priorDeviation = 0.5;
constexpr double noEffectDeviation = 0.2;
constexpr double maxEffect = 1.5;  // a single comparison counts no more than this
// Named when the effect exceeds a factor of 1.15 by two deviations, until it is within one of none.
constexpr double harmfulEffect = 0.14;
constexpr double harmfulDeviations = 2.0;
constexpr double harmlessDeviations = 1.0;
constexpr double negligiblePrecision = 0.5;
constexpr std::size_t maxPairs = 256;

double decayed(const PairEvidence &evidence, TimePoint now)
{
    const auto age = static_cast<double>((now - evidence.updatedAt).count());
    return evidence.precision * std::exp(-age / static_cast<double>(evidenceMemory.count()));
}

Estimate estimateFrom(const PairEvidence &evidence, TimePoint now)
{
    const double precision = decayed(evidence, now);
    const double total = precision + 1.0 / square(priorDeviation);
    return {evidence.effect * precision / total, 1.0 / std::sqrt(total)};
}

void judge(PairTable &table, const ImagePair &pair, PairEvidence &evidence, TimePoint now)
{
    const Estimate estimate = estimateFrom(evidence, now);
    const bool isHarmful =
            evidence.isHarmful
                    ? estimate.effect > harmlessDeviations * estimate.deviation
                    : estimate.effect - harmfulDeviations * estimate.deviation > harmfulEffect;
    if (isHarmful == evidence.isHarmful) {
        return;
    }
    evidence.isHarmful = isHarmful;
    if (isHarmful) {
        ++table.harmful;
    } else {
        --table.harmful;
    }
    table.changes.push_back({pair.first, pair.second, isHarmful, estimate});
}

void erasePair(PairTable &table, std::map<ImagePair, PairEvidence>::iterator at, TimePoint now)
{
    if (at->second.isHarmful) {
        --table.harmful;
        table.changes.push_back(
                {at->first.first, at->first.second, false, estimateFrom(at->second, now)});
    }
    table.pairs.erase(at);
}

}  // namespace

PairEvidence &evidenceOf(PairTable &table, const ImagePair &pair, TimePoint now)
{
    const auto found = table.pairs.find(pair);
    if (found != table.pairs.end()) {
        return found->second;
    }
    if (table.pairs.size() >= maxPairs) {
        // Harmful pairs stay, then those with the most evidence.
        const auto least = std::min_element(
                table.pairs.begin(), table.pairs.end(), [now](const auto &left, const auto &right) {
                    return std::pair(left.second.isHarmful, decayed(left.second, now))
                           < std::pair(right.second.isHarmful, decayed(right.second, now));
                });
        erasePair(table, least, now);
    }
    return table.pairs[pair];
}

void addEvidence(PairTable &table, const ImagePair &pair, double effect, double variance,
                 TimePoint now)
{
    PairEvidence &evidence = evidenceOf(table, pair, now);
    const double before = decayed(evidence, now);
    const double added = 1.0 / variance;
    const double value = std::clamp(effect, -maxEffect, maxEffect);
    evidence.effect = (evidence.effect * before + value * added) / (before + added);
    evidence.precision = before + added;
    evidence.updatedAt = now;
    judge(table, pair, evidence, now);
}

void cleanPairs(PairTable &table, TimePoint now)
{
    for (auto at = table.pairs.begin(); at != table.pairs.end();) {
        const auto next = std::next(at);
        judge(table, at->first, at->second, now);
        if (!at->second.isHarmful && decayed(at->second, now) < negligiblePrecision) {
            erasePair(table, at, now);
        }
        at = next;
    }
}

void recordNoEffect(PairTable &table, const std::string &victim, const std::string &neighbour,
                    TimePoint now)
{
    addEvidence(table, {victim, neighbour}, 0, square(noEffectDeviation), now);
}

Estimate estimateOf(const PairTable &table, const std::string &victim, const std::string &neighbour,
                    TimePoint now)
{
    const auto found = table.pairs.find({victim, neighbour});
    return found == table.pairs.end() ? Estimate{0, priorDeviation}
                                      : estimateFrom(found->second, now);
}

std::vector<std::string> conflictsOf(const PairTable &table, const std::string &image)
{
    std::vector<std::string> conflicts;
    if (table.harmful == 0 || image.empty()) {
        return conflicts;
    }
    for (const auto &[pair, evidence] : table.pairs) {
        if (evidence.isHarmful && (pair.first == image || pair.second == image)) {
            conflicts.push_back(pair.first == image ? pair.second : pair.first);
        }
    }
    return conflicts;
}

bool isHarmful(const PairTable &table, const std::string &victim, const std::string &neighbour)
{
    if (table.harmful == 0) {
        return false;
    }
    const auto found = table.pairs.find({victim, neighbour});
    return found != table.pairs.end() && found->second.isHarmful;
}

}  // namespace poplarstream::interference
