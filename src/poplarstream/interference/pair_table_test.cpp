#include "poplarstream/interference/pair_table.hpp"

#include <cmath>  // for exp, sqrt

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/base/random.hpp"  // for Random

namespace poplarstream::interference {
namespace {

constexpr Milliseconds reportInterval{500};
constexpr int seeds = 40;

// About normally distributed, with mean 0 and deviation 1.
double noise(Random &random)
{
    double sum = 0;
    for (int i = 0; i < 12; ++i) {
        sum += random.unit();
    }
    return sum - 6.0;
}

// What is true of a made-up fleet. Each worker has a serving task of image "web". Its neighbours
// come and go every `stay` on average, or stay for good.
struct Truth
{
    double effect = 0;  // of one task "busy" on the logarithm of the tail of "web"
    double quietEffect = 0;  // the same of "quiet"
    std::vector<double> workers = std::vector<double>(8, 0.0);  // how slow each is
    bool doNeighboursStay = false;
    bool doComeTogether = false;  // "quiet" is wherever "busy" is
    Milliseconds stay{20'000};
};

// Reports of that fleet: rough figures, and a slowdown of each worker that drifts within seconds.
struct Fleet
{
    Fleet(const Truth &given, std::uint64_t seed)
        : truth(given)
        , random(seed)
        , drift(given.workers.size(), 0.0)
        , hasBusy(given.workers.size())
        , hasQuiet(given.workers.size())
    {
        for (std::size_t i = 0; i < given.workers.size(); ++i) {
            hasBusy[i] = given.doNeighboursStay ? given.workers[i] != 0 : random.unit() < 0.5;
            hasQuiet[i] = given.doComeTogether ? bool(hasBusy[i]) : random.unit() < 0.5;
        }
    }

    void step(PairTable &table)
    {
        now += reportInterval;
        for (std::size_t i = 0; i < drift.size(); ++i) {
            const double leave = static_cast<double>(reportInterval.count())
                                 / static_cast<double>(truth.stay.count());
            if (!truth.doNeighboursStay && random.unit() < leave) {
                hasBusy[i] = !hasBusy[i];
            }
            if (!truth.doNeighboursStay && random.unit() < leave) {
                hasQuiet[i] = !hasQuiet[i];
            }
            if (truth.doComeTogether) {
                hasQuiet[i] = bool(hasBusy[i]);
            }
            drift[i] = 0.9 * drift[i] + 0.15 * std::sqrt(1 - 0.81) * noise(random);
            learn(table, sample(i), now);
        }
        clean(table, now);
    }

    Sample sample(std::size_t i)
    {
        const double extent = 0.5 + random.unit();  // of harm, changes within seconds
        const double logTail = std::log(40.0) + truth.workers[i] + drift[i] + 0.2 * noise(random)
                               + (hasBusy[i] ? truth.effect * extent : 0)
                               + (hasQuiet[i] ? truth.quietEffect * extent : 0);
        Sample sample;
        sample.task.index = static_cast<int>(i);
        sample.run = 1;
        sample.worker = {jobs::WorkerId(fmt::format("w{}", i)), 1};
        sample.image = "web";
        sample.tailMs = std::round(std::exp(logTail));
        sample.isReady = true;
        if (hasBusy[i]) {
            sample.neighbours.push_back({"busy", 1, 1.0});
        }
        if (hasQuiet[i]) {
            sample.neighbours.push_back({"quiet", 1, 1.0});
        }
        return sample;
    }

    Truth truth;
    Random random;
    std::vector<double> drift;
    std::vector<bool> hasBusy;
    std::vector<bool> hasQuiet;
    TimePoint now = timePoint(1'000'000);
};

// What a fleet had named within five minutes.
struct Outcome
{
    int busy = 0;  // seeds in which "busy" was named at any time
    int quiet = 0;
    Milliseconds until{0};  // the pair with "busy" was named; the mean over those seeds
};

Outcome play(const Truth &truth)
{
    Outcome outcome;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        PairTable table;
        Fleet fleet(truth, seed);
        const TimePoint begin = fleet.now;
        bool wasBusyNamed = false;
        bool wasQuietNamed = false;
        while (fleet.now < begin + Milliseconds{300'000}) {
            fleet.step(table);
            if (!wasBusyNamed && isHarmful(table, "web", "busy")) {
                wasBusyNamed = true;
                ++outcome.busy;
                outcome.until += fleet.now - begin;
            }
            wasQuietNamed = wasQuietNamed || isHarmful(table, "web", "quiet");
        }
        outcome.quiet += wasQuietNamed ? 1 : 0;
    }
    outcome.until /= std::max(outcome.busy, 1);
    return outcome;
}

// Guards against harm that is not noticed or noticed too late to act on, and against taking for it:
// a harmless neighbour of a harmful one, rough figures and a drift within seconds, slow workers and
// what happens to run there, and two images that come and go together.
TEST(PairTable, NamesWhatHarmsOnly)
{
    struct Case
    {
        const char *name;
        Truth truth;
        int mostBusy;  // seeds
        int mostQuiet;
    };
    const std::vector<double> slow = {1.1, 0.7, 0, 0, 0, 0, 0, 0};
    const std::vector<double> even(slow.size(), 0.0);
    const Case cases[] = {
            {"harm", {std::log(1.7), 0, even}, seeds, 2},
            {"no harm", {}, 1, 1},
            {"slow workers", {0, 0, slow}, 1, 1},
            {"neighbours on slow workers only", {0, 0, slow, true}, 1, 1},
            {"always together", {std::log(1.4), 0, even, false, true}, seeds, seeds / 4},
    };
    for (const Case &each : cases) {
        SCOPED_TRACE(each.name);
        const Outcome outcome = play(each.truth);
        fmt::print("{}: busy={} quiet={} of {} seeds, until_ms={}\n", each.name, outcome.busy,
                   outcome.quiet, seeds, outcome.until.count());
        EXPECT_LE(outcome.busy, each.mostBusy);
        EXPECT_LE(outcome.quiet, each.mostQuiet);
        if (each.name == std::string("harm")) {
            EXPECT_EQ(outcome.busy, seeds);
            EXPECT_LT(outcome.until, Milliseconds{45'000});
        }
    }
}

// Guards against a start, an overloaded worker or a missing figure that changes an estimate.
TEST(PairTable, ExcludedSamples)
{
    for (const char *const what : {"starting", "overloaded", "no figure"}) {
        SCOPED_TRACE(what);
        PairTable table;
        Truth truth;
        Fleet fleet(truth, 7);
        for (int i = 0; i < 600; ++i) {
            fleet.now += reportInterval;
            Sample sample = fleet.sample(0);
            const bool isBeside = (i / 20) % 2 == 1;
            sample.neighbours.clear();
            if (isBeside) {
                sample.neighbours.push_back({"busy", 1, 1.0});
                sample.tailMs = what == std::string("no figure") ? 0 : 500;
                sample.isReady = what != std::string("starting");
                sample.isOverloaded = what == std::string("overloaded");
            }
            learn(table, sample, fleet.now);
            clean(table, fleet.now);
        }
        EXPECT_TRUE(table.pairs.empty());
    }
}

// Guards against a pace that hides harm or looks like it: it follows the tail, so the tails before
// and after a change of pace differ without any effect of the task.
TEST(PairTable, PaceThatFollowsTheTailIsNoEvidence)
{
    for (const double effect : {0.0, std::log(1.7)}) {
        SCOPED_TRACE(fmt::format("effect {}", effect));
        int named = 0;
        double sum = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            PairTable table;
            Truth truth;
            Fleet fleet(truth, seed);
            std::vector<double> paces(truth.workers.size(), 1.0);
            for (int i = 0; i < 600; ++i) {
                fleet.now += reportInterval;
                for (std::size_t at = 0; at < paces.size(); ++at) {
                    fleet.drift[at] = 0.9 * fleet.drift[at] + 0.15 * noise(fleet.random);
                    // "busy" comes and goes; its pace follows the tail.
                    if (fleet.random.unit() < 0.025) {
                        fleet.hasBusy[at] = !fleet.hasBusy[at];
                        paces[at] = 1.0;
                    }
                    fleet.hasQuiet[at] = false;
                    Sample sample = fleet.sample(at);
                    if (fleet.hasBusy[at]) {
                        sample.tailMs *= std::exp(effect * paces[at]);
                        sample.neighbours[0].share = paces[at];
                    }
                    learn(table, sample, fleet.now);
                    paces[at] = sample.tailMs > 80 ? 0.0 : sample.tailMs < 45 ? 1.0 : paces[at];
                }
                clean(table, fleet.now);
            }
            named += isHarmful(table, "web", "busy") ? 1 : 0;
            sum += estimateOf(table, "web", "busy", fleet.now).effect;
        }
        fmt::print(
                "pace follows the tail, effect {:.2f}: busy={} of {} seeds, mean estimate {:.2f}\n",
                effect, named, seeds, sum / seeds);
        if (effect == 0) {
            EXPECT_LE(named, 2);
            EXPECT_NEAR(sum / seeds, 0, 0.08);
        } else {
            EXPECT_GE(named, seeds / 2);
        }
    }
}

// Guards against a table that grows without bound, and against harm that is believed for ever.
TEST(PairTable, BoundedAndForgotten)
{
    PairTable table;
    Truth truth;
    truth.effect = std::log(2.5);
    Fleet fleet(truth, 3);
    for (int i = 0; i < 300; ++i) {
        fleet.step(table);
    }
    ASSERT_TRUE(isHarmful(table, "web", "busy"));
    {
        SCOPED_TRACE("when many other pairs are seen");
        for (int i = 0; i < 2000; ++i) {
            recordNoEffect(table, fmt::format("image{}", i), "other", fleet.now);
        }
        EXPECT_LE(table.pairs.size(), 256U);
        EXPECT_TRUE(isHarmful(table, "web", "busy"));
        EXPECT_EQ(table.harmful, 1U);
    }
    {
        SCOPED_TRACE("when the tasks have gone for half an hour");
        fleet.now += Milliseconds{1'800'000};
        table.changes.clear();
        clean(table, fleet.now);
        EXPECT_FALSE(isHarmful(table, "web", "busy"));
        ASSERT_EQ(table.changes.size(), 1U);
        EXPECT_FALSE(table.changes[0].isHarmful);
        fleet.now += Milliseconds{1'800'000};
        clean(table, fleet.now);
        EXPECT_TRUE(table.pairs.empty());
        EXPECT_TRUE(table.alone.empty());
        EXPECT_TRUE(table.workers.empty());
        EXPECT_TRUE(table.situations.empty());
    }
}

}  // namespace
}  // namespace poplarstream::interference
