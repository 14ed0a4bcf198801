#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/jobs/codec.hpp"  // for encodeProgress

namespace poplarstream::engine {
namespace {

using test::EngineFixture;
using test::firstJob;
using test::secondJob;
using test::step;
using test::submission;

constexpr Milliseconds sinceTakeover{1200};

// The inputs of the decisions of one kind, in their order.
std::vector<std::string> inputsOf(const Engine &engine, DecisionKind kind)
{
    std::vector<std::string> inputs;
    for (const Decision &decision : engine.decisions) {
        if (decision.kind == kind) {
            inputs.push_back(decision.inputs);
        }
    }
    return inputs;
}

// An owner that has taken over a run on "w1", and has started one of its own beside it.
struct OwnerAfterTakeover : EngineFixture
{
    OwnerAfterTakeover()
        : EngineFixture(1)
    {
        EngineFixture before(1);
        before.submit(submission(firstJob, step(1, 1000)));
        before.startAll();
        submit(submission(firstJob, step(1, 1000)));
        engine.takenOverAt = now;
        const bool isAdopted = static_cast<bool>(adoptProgress(engine, JobId(firstJob),
                                                               jobs::encodeProgress(before.job()),
                                                               lapseAfter(engine, now), now));
        EXPECT_TRUE(isAdopted);
        submit(submission(secondJob, step(1, 1000)));
        EXPECT_EQ(startAll().size(), 1U);
        now += sinceTakeover;
        engine.decisions.clear();
    }

    std::size_t released(ReleaseCause cause) const
    {
        return engine.released.at(static_cast<std::size_t>(cause));
    }
};

// Guards against a run that was done twice of which the log does not tell whether its second owner
// had taken it over, and how soon after the takeover it gave it up.
TEST(Releases, RunsOfEarlierOwnersAreToldApart)
{
    {
        SCOPED_TRACE("when the worker is taken for ended");
        OwnerAfterTakeover fixture;
        const WorkerIncarnation incarnation = EngineFixture::incarnation("w1");
        endIncarnation(fixture.engine, incarnation, EndEvidence::MachineAbsent, fixture.now);
        const auto ends = inputsOf(fixture.engine, DecisionKind::WorkerEnded);
        ASSERT_EQ(ends.size(), 1U);
        EXPECT_EQ(ends[0],
                  "tasks=2 evidence=machine-absent planned=false answered_ms_ago=1200 adopted=1");
        const auto releases = inputsOf(fixture.engine, DecisionKind::TaskReleased);
        ASSERT_EQ(releases.size(), 2U);
        EXPECT_EQ(releases[0], "cause=worker-ended owner=previous takeover_ms_ago=1200");
        EXPECT_EQ(releases[1], "cause=worker-ended owner=self takeover_ms_ago=1200");
        EXPECT_EQ(fixture.released(ReleaseCause::WorkerEnded), 2U);
    }
    {
        SCOPED_TRACE("when its response lacks the runs, the other fields come first");
        OwnerAfterTakeover fixture;
        fixture.poll();
        fixture.answer("w1");
        const auto releases = inputsOf(fixture.engine, DecisionKind::TaskReleased);
        ASSERT_EQ(releases.size(), 2U);
        EXPECT_TRUE(releases[0].starts_with("cause=not-listed poll=")) << releases[0];
        EXPECT_TRUE(releases[0].ends_with(" owner=previous takeover_ms_ago=1200")) << releases[0];
        EXPECT_TRUE(releases[1].ends_with(" owner=self takeover_ms_ago=1200")) << releases[1];
        EXPECT_EQ(fixture.released(ReleaseCause::NotListed), 2U);
    }
    {
        SCOPED_TRACE("when a start is rejected");
        OwnerAfterTakeover fixture;
        const std::string other = "00000000000000c3";
        fixture.submit(submission(other, step(1, 1000)));
        const auto starts = fixture.start();
        ASSERT_EQ(starts.size(), 1U);
        fixture.answerStart(starts[0], StartResult::NoCapacity);
        const auto releases = inputsOf(fixture.engine, DecisionKind::TaskReleased);
        ASSERT_EQ(releases.size(), 1U);
        EXPECT_EQ(releases[0],
                  "cause=start-rejected result=no-capacity owner=self takeover_ms_ago=1200");
        EXPECT_EQ(fixture.released(ReleaseCause::StartRejected), 1U);
    }
}

// Guards against the same for runs on a worker that has never answered the new owner.
TEST(Releases, LapsedRunsOfASilentWorker)
{
    SCOPED_TRACE("given a run that was taken over, on a worker that the owner does not know");
    EngineFixture before(1);
    before.submit(submission(firstJob, step(1, 1000)));
    before.startAll();
    EngineFixture after(0);
    after.submit(submission(firstJob, step(1, 1000)));
    after.engine.takenOverAt = after.now;
    ASSERT_TRUE(adoptProgress(after.engine, JobId(firstJob), jobs::encodeProgress(before.job()),
                              lapseAfter(after.engine, after.now), after.now));
    EXPECT_EQ(after.engine.runsAdopted, 1U);
    EXPECT_EQ(after.engine.workersAdopted, 1U);
    {
        SCOPED_TRACE("when its lease has lapsed");
        after.now += Milliseconds{6000};
        after.poll();
        const auto lapses = inputsOf(after.engine, DecisionKind::LeaseLapsed);
        ASSERT_EQ(lapses.size(), 1U);
        EXPECT_EQ(lapses[0], "tasks=1 answered_ms_ago=-1 adopted=1");
        const auto releases = inputsOf(after.engine, DecisionKind::TaskReleased);
        ASSERT_EQ(releases.size(), 1U);
        EXPECT_EQ(releases[0], "cause=lease-lapsed owner=previous takeover_ms_ago=6000");
        EXPECT_EQ(after.engine.released.at(static_cast<std::size_t>(ReleaseCause::LeaseLapsed)),
                  1U);
    }
}

}  // namespace
}  // namespace poplarstream::engine
