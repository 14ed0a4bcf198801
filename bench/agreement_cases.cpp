#include "agreement_cases.hpp"

#include <algorithm>  // for sort

#include "agreement_world.hpp"  // for AgreementWorld
#include "runs_cases.hpp"  // for runPlatformAway
#include "traffic_cases.hpp"  // for platformAway

namespace poplarstream::bench {

namespace {

constexpr double changesPerSecond = 3'400.0 / 86'400;
constexpr double rivalShare = 0.2;
constexpr double targetSeconds = 9;
constexpr Milliseconds minute{60'000};
constexpr Milliseconds hour{60 * minute};

MeasureLine quantity(const std::string &caseName, const std::string &name, const std::string &unit,
                     double naive, double now, double target, std::uint64_t seed)
{
    return {.caseName = caseName,
            .quantity = name,
            .unit = unit,
            .better = "lower",
            .naive = naive,
            .now = now,
            .target = target,
            .seed = seed};
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

AgreementSettings faultySettings(bool isNaive)
{
    return {.isNaive = isNaive, .loseAppend = 0.02, .loseAnswer = 0.02, .loseRead = 0.001};
}

// A day with an outage of the log, of 20 s to 10 minutes, in every fourth hour.
AgreementFigures raceForADay(std::uint64_t seed, bool isNaive)
{
    AgreementWorld world(seed, faultySettings(isNaive));
    world.runFor(minute);
    world.startOperators(changesPerSecond, rivalShare);
    for (int outage = 0; outage < 6; ++outage) {
        constexpr Milliseconds shortest{20'000};
        const Milliseconds length = shortest + (10 * minute - shortest) * outage / 5;
        world.runFor(2 * hour);
        world.setLogDown(true);
        world.runFor(length);
        world.setLogDown(false);
        world.runFor(2 * hour - length);
    }
    world.stopOperators();
    world.runFor(5 * minute);
    return world.figures();
}

// Seconds from the end of a cut of some replicas until all have applied the same log.
double agreeAfterCut(std::uint64_t seed, bool isNaive, std::size_t cutReplicas, Milliseconds length)
{
    AgreementWorld world(seed, faultySettings(isNaive));
    world.runFor(minute);
    world.startOperators(changesPerSecond, rivalShare);
    world.runFor(10 * minute);
    const auto setAll = [&](bool isCut) {
        for (std::size_t i = 0; i < cutReplicas; ++i) {
            world.setCut(i, isCut);
        }
    };
    setAll(true);
    world.runFor(length);
    setAll(false);
    return world.secondsToAgree(2 * minute);
}

// The worst of several cuts, since the time depends on where in its time-out each read is.
MeasureLine agreementLine(const std::string &name, std::uint64_t seed, std::size_t cutReplicas,
                          Milliseconds length)
{
    constexpr std::uint64_t cuts = 20;
    double naive = 0;
    double now = 0;
    for (std::uint64_t i = 0; i < cuts; ++i) {
        const Milliseconds varied = length + Milliseconds{static_cast<std::int64_t>(i) * 317};
        naive = std::max(naive, agreeAfterCut(seed * cuts + i, true, cutReplicas, varied));
        now = std::max(now, agreeAfterCut(seed * cuts + i, false, cutReplicas, varied));
    }
    return quantity(name, "time-to-agree-after-healing", "s", naive, now, targetSeconds, seed);
}

}  // namespace

std::vector<MeasureLine> measureConfigRace(std::uint64_t seed)
{
    const std::string name = "config-race";
    const AgreementFigures naive = raceForADay(seed, true);
    const AgreementFigures now = raceForADay(seed, false);
    return {quantity(name, "reverts", "changes", static_cast<double>(naive.reverts),
                     static_cast<double>(now.reverts), 0, seed),
            quantity(name, "half-applied", "changes", static_cast<double>(naive.halfApplied),
                     static_cast<double>(now.halfApplied), 0, seed),
            quantity(name, "time-in-force-p99", "s", percentile(naive.inForceSeconds, 0.99),
                     percentile(now.inForceSeconds, 0.99), targetSeconds, seed),
            {.caseName = name,
             .promise = "configuration-atomic-and-never-reverted",
             .checked = now.checked,
             .violations = now.reverts + now.halfApplied,
             .seed = seed}};
}

std::vector<MeasureLine> measurePlatformAway(std::uint64_t seed)
{
    std::vector<MeasureLine> lines = platformAway(seed);
    for (MeasureLine &line : runPlatformAway(seed)) {
        lines.push_back(std::move(line));
    }
    constexpr std::size_t everyReplica = AgreementSettings{}.replicas;
    lines.push_back(agreementLine("platform-away", seed, everyReplica, 10 * minute));
    return lines;
}

std::vector<MeasureLine> measureZoneCutAgreement(std::uint64_t seed)
{
    constexpr std::size_t zoneReplicas = 8;
    return {agreementLine("zone-cut", seed, zoneReplicas, Milliseconds{20'000})};
}

std::vector<MeasureLine> measureRegionApartAgreement(std::uint64_t seed)
{
    constexpr std::size_t regionReplicas = 12;
    return {agreementLine("region-apart", seed, regionReplicas, 5 * minute)};
}

}  // namespace poplarstream::bench
