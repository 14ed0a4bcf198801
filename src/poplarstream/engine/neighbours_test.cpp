#include "poplarstream/engine/neighbours.hpp"

#include <cmath>  // for log

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/base/random.hpp"  // for Random
#include "serving_fixture.hpp"  // for EngineFixture, servingStep, makeHarmful

namespace poplarstream::engine {
namespace {

using test::EngineFixture;
using test::firstJob;
using test::makeHarmful;
using test::secondJob;
using test::servingStep;
using test::step;
using test::submission;

// Guards against tasks that are placed beside those that they slow down though there is room
// elsewhere, and against tasks that wait since there is none.
TEST(Neighbours, HarmfulPairsAreKeptApartWhereThereIsRoom)
{
    for (const bool isVictimFirst : {true, false}) {
        SCOPED_TRACE(isVictimFirst ? "given a victim at work" : "given its neighbour at work");
        EngineFixture fixture;
        makeHarmful(fixture.engine, "web", "search");
        const std::string images[] = {isVictimFirst ? "web" : "search",
                                      isVictimFirst ? "search" : "web"};
        fixture.submit(submission(firstJob, servingStep(images[0], 1000)));
        const auto first = fixture.startAll();
        ASSERT_EQ(first.size(), 1U);
        {
            SCOPED_TRACE("when the other starts, then it gets the other worker");
            fixture.submit(submission(secondJob, servingStep(images[1], 1000)));
            const auto second = fixture.startAll();
            ASSERT_EQ(second.size(), 1U);
            EXPECT_NE(second[0].target.worker, first[0].target.worker);
        }
        {
            SCOPED_TRACE("when only the same worker has room, then it starts there");
            EngineFixture full(1);
            makeHarmful(full.engine, "web", "search");
            full.submit(submission(firstJob, servingStep(images[0], 1000)));
            full.startAll();
            full.submit(submission(secondJob, servingStep(images[1], 1000)));
            EXPECT_EQ(full.startAll().size(), 1U);
        }
    }
}

// Guards against deployments without images or latency targets that are served in another way.
TEST(Neighbours, PlacementWithoutImagesIsAsBefore)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(fmt::format("seed {}", seed));
        EngineFixture plain(6);
        EngineFixture learned(6);
        makeHarmful(learned.engine, "web", "search");
        makeHarmful(learned.engine, "", "");
        Random random(seed);
        for (int i = 0; i < 20; ++i) {
            jobs::StepSpec spec = step(1 + static_cast<int>(random.below(4)),
                                       100 * (1 + static_cast<std::int64_t>(random.below(15))));
            spec.longRunning = random.below(2) == 0;
            spec.fills = random.below(4) == 0;
            const std::string id = fmt::format("{:016x}", i + 1);
            for (EngineFixture *const fixture : {&plain, &learned}) {
                fixture->submit(submission(id, spec));
            }
            const auto expected = plain.startAll();
            const auto actual = learned.startAll();
            ASSERT_EQ(actual.size(), expected.size());
            for (std::size_t at = 0; at < actual.size(); ++at) {
                EXPECT_EQ(actual[at].target.worker, expected[at].target.worker);
                EXPECT_EQ(actual[at].task, expected[at].task);
            }
        }
    }
}

// Guards against reports that teach nothing, or that teach while a task starts up.
TEST(Neighbours, ReportsOfServingTasksAreLearnedFrom)
{
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, servingStep("web", 1000)));
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    const auto report = [&](int percent) {
        fixture.now += Milliseconds{500};
        fixture.poll();
        fixture.answer("w1", {{starts[0].task, starts[0].run, "", percent, 40}});
    };
    {
        SCOPED_TRACE("when it starts up");
        for (int i = 0; i < 10; ++i) {
            report(90);
        }
        EXPECT_TRUE(fixture.engine.interference.alone.empty());
    }
    {
        SCOPED_TRACE("when it is ready");
        for (int i = 0; i < 10; ++i) {
            report(jobs::readyPercent);
        }
        ASSERT_EQ(fixture.engine.interference.alone.count("web"), 1U);
        EXPECT_NEAR(fixture.engine.interference.alone.at("web").value, std::log(40.0), 0.01);
    }
    {
        SCOPED_TRACE("when a pair is named, then the decision log says so once");
        makeHarmful(fixture.engine, "web", "search");
        fixture.engine.interference.changes.push_back({"web", "search", true, {0.7, 0.1}});
        fixture.engine.decisions.clear();
        reviewNeighbours(fixture.engine, fixture.now);
        reviewNeighbours(fixture.engine, fixture.now);
        ASSERT_EQ(fixture.engine.decisions.size(), 1U);
        EXPECT_EQ(fixture.engine.decisions[0].kind, DecisionKind::PairNamed);
        EXPECT_NE(fixture.engine.decisions[0].inputs.find("victim=web neighbour=search"),
                  std::string::npos);
    }
}

}  // namespace
}  // namespace poplarstream::engine
