#include "poplarstream/interference/pace.hpp"

#include <algorithm>  // for max
#include <cmath>  // for exp

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/base/random.hpp"  // for Random

namespace poplarstream::interference {
namespace {

constexpr Milliseconds reportInterval{500};
constexpr Milliseconds longestHarm{4000};

// A serving task beside one filling task. Its load without it drifts within seconds.
struct Pair
{
    double alone = 0.6;  // part of the target
    double effect = 0.0;  // of the filling task at full pace, as a logarithm
    double drift = 0.1;  // deviation of the logarithm of the load
    double figure = 0.1;  // the same of the figures
    double rise = 0;  // added to the load for ten seconds of each minute
    double lostCommands = 0;  // part of the commands whose outcome is not known
};

struct Outcome
{
    Milliseconds longest{0};  // over the target on end because of the filling task at work
    double pace = 0;  // the mean
    double over = 0;  // part of the time over the target because of the filling task
    int commands = 0;
    Milliseconds shortestInterval{1'000'000};  // between commands
};

// Ten minutes. A command takes effect with the next report.
Outcome play(const Pair &pair, std::uint64_t seed)
{
    Random random(seed);
    const auto noise = [&random] { return 2 * (random.unit() + random.unit() - 1); };
    PaceControl control;
    Filler filler{100, false};
    int truePercent = 100;
    double drift = 0;
    Milliseconds harm{0};
    TimePoint commandedAt{};
    Outcome outcome;
    constexpr int reports = 1200;
    for (int i = 0; i < reports; ++i) {
        const TimePoint now = timePoint(1'000'000) + i * reportInterval;
        drift = 0.9 * drift + pair.drift * 0.44 * noise();
        const double added = i % 120 >= 100 ? pair.rise : 0;
        const double alone = (pair.alone + added) * std::exp(drift);
        const double load = alone * std::exp(pair.effect * truePercent / 100);
        const bool isHarm = load > 1 && alone <= 1 && truePercent > 0;
        harm = isHarm ? harm + reportInterval : Milliseconds{0};
        outcome.longest = std::max(outcome.longest, harm);
        outcome.over += isHarm ? 1.0 / reports : 0;
        outcome.pace += truePercent / 100.0 / reports;
        const PaceDecision decision =
                decidePaces(control, load * std::exp(pair.figure * noise()), {&filler, 1}, now);
        if (decision.percents.empty() || !decision.percents[0]) {
            continue;
        }
        ++outcome.commands;
        outcome.shortestInterval = std::min(outcome.shortestInterval, now - commandedAt);
        commandedAt = now;
        const bool isLost = random.unit() < pair.lostCommands;
        if (!isLost || random.unit() < 0.5) {
            truePercent = *decision.percents[0];
        }
        filler.percent = isLost ? jobs::unknownPace : truePercent;
    }
    return outcome;
}

Outcome worst(const char *name, const Pair &pair)
{
    Outcome all;
    constexpr int seeds = 30;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Outcome one = play(pair, seed);
        all.longest = std::max(all.longest, one.longest);
        all.pace += one.pace / seeds;
        all.over += one.over / seeds;
        all.commands = std::max(all.commands, one.commands);
        all.shortestInterval = std::min(all.shortestInterval, one.shortestInterval);
    }
    fmt::print("{}: longest harm {} ms, mean pace {:.2f}, over because of it {:.3f}, commands {}\n",
               name, all.longest.count(), all.pace, all.over, all.commands);
    return all;
}

// Guards against a serving task that is held over its target by what fills beside it, at any
// strength of the effect, with a load that changes and with commands that are lost.
TEST(Pace, TargetsAreNotMissedForLong)
{
    for (const double effect : {0.3, 0.7, 1.5}) {
        for (const double lost : {0.0, 0.1}) {
            SCOPED_TRACE(fmt::format("effect {}, lost {}", effect, lost));
            Pair pair;
            pair.alone = 0.7;
            pair.effect = effect;
            pair.drift = 0.15;
            pair.rise = 0.2;
            pair.lostCommands = lost;
            const Outcome outcome =
                    worst(fmt::format("effect {}, lost {}", effect, lost).c_str(), pair);
            EXPECT_LT(outcome.longest, longestHarm);
            EXPECT_GE(outcome.shortestInterval, Milliseconds{400});
        }
    }
}

// Guards against filling tasks that are held back where they do no harm: beside a task with a
// margin, and beside one that misses its target whatever they do.
TEST(Pace, HarmlessTasksWork)
{
    Pair margin;
    const Outcome safe = worst("harmless, margin", margin);
    EXPECT_GT(safe.pace, 0.95);
    Pair overloaded;
    overloaded.alone = 1.5;
    const Outcome over = worst("harmless, target missed without it", overloaded);
    EXPECT_GT(over.pace, 0.3);
    Pair close;
    close.alone = 0.85;
    close.drift = 0.03;
    close.figure = 0.03;
    EXPECT_GT(worst("harmless, close to the target", close).pace, 0.9);
}

// Guards against a brake that is too slow, and against a pace that stays low when the target is
// safe again.
TEST(Pace, LoweredQuicklyAndRaisedInSteps)
{
    PaceControl control;
    Filler filler{100, false};
    TimePoint now = timePoint(1'000'000);
    const auto report = [&](double load) {
        now += reportInterval;
        const PaceDecision decision = decidePaces(control, load, {&filler, 1}, now);
        if (!decision.percents.empty() && decision.percents[0]) {
            filler.percent = *decision.percents[0];
        }
        return decision;
    };
    report(0.8);
    EXPECT_EQ(filler.percent, 100);
    {
        SCOPED_TRACE("when the target is missed");
        report(1.2);
        EXPECT_EQ(filler.percent, 25);
        report(1.2);
        EXPECT_EQ(filler.percent, 6);
        report(1.2);
        EXPECT_EQ(filler.percent, 0);
    }
    {
        SCOPED_TRACE("when it is safe again");
        for (int i = 0; i < 2; ++i) {
            report(0.5);
            EXPECT_EQ(filler.percent, 0);
        }
        for (int i = 0; i < 5; ++i) {
            report(0.5);
        }
        EXPECT_EQ(filler.percent, 100);
    }
    {
        SCOPED_TRACE("when the target is missed for a moment and then met without a margin");
        for (int i = 0; i < 3; ++i) {
            report(1.2);
        }
        EXPECT_EQ(filler.percent, 0);
        for (int i = 0; i < 120; ++i) {
            report(0.85);
        }
        EXPECT_EQ(filler.percent, 100);
    }
    {
        SCOPED_TRACE("when stopping it doesn't help");
        bool isNoEffect = false;
        for (int i = 0; i < 8 && !isNoEffect; ++i) {
            isNoEffect = report(1.5).isNoEffect;
        }
        EXPECT_TRUE(isNoEffect);
        EXPECT_EQ(filler.percent, 100);
    }
}

// Guards against a new owner that never sets a pace that it does not know, and against a task known
// to be harmless that is stopped before the others.
TEST(Pace, UnknownPacesAndHarmlessNeighbours)
{
    const TimePoint now = timePoint(1'000'000);
    {
        SCOPED_TRACE("given paces that are not known");
        const Filler fillers[] = {{jobs::unknownPace, false}, {100, false}};
        for (const std::optional<double> load : {std::optional(0.8), std::optional<double>()}) {
            PaceControl control;
            const PaceDecision decision = decidePaces(control, load, fillers, now);
            EXPECT_EQ(decision.percents, (std::vector<std::optional<int>>{0, std::nullopt}));
        }
        SCOPED_TRACE("given no serving task any more");
        PaceControl control;
        EXPECT_EQ(decidePaces(control, 0.0, fillers, now).percents,
                  (std::vector<std::optional<int>>{100, std::nullopt}));
    }
    {
        SCOPED_TRACE("given a harmless task beside an unproven one");
        PaceControl control;
        const Filler fillers[] = {{100, true}, {100, false}};
        EXPECT_EQ(decidePaces(control, 1.2, fillers, now).percents,
                  (std::vector<std::optional<int>>{std::nullopt, 25}));
        EXPECT_EQ(decidePaces(control, 1.2, fillers, now + Milliseconds{1000}).percents,
                  (std::vector<std::optional<int>>{0, 0}));
    }
}

}  // namespace
}  // namespace poplarstream::interference
