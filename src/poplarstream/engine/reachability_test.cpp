#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/engine/evacuation.hpp"  // for evacuate
#include "poplarstream/jobs/codec.hpp"  // for encodeProgress

namespace poplarstream::engine {
namespace {

using test::EngineFixture;
using test::firstJob;
using test::secondJob;
using test::step;
using test::submission;

RunningReport running(int index, int run, int percent = 10)
{
    return {EngineFixture::ref(index).task, run, "", percent, 0};
}

// Guards against a task that runs twice: an order without an answer may be carried out later.
TEST(Reachability, UnansweredStart)
{
    SCOPED_TRACE("given a start that was not answered, and a look that was sent before it");
    EngineFixture scene(1);
    scene.submit(submission(firstJob, step(1, 1000)));
    const auto starts = scene.start();
    scene.poll();
    const std::int64_t before = scene.worker("w1").lookNumber;
    const std::int64_t token = starts.at(0).target.fencingToken;
    scene.answerStart(starts.at(0), StartResult::Unknown);
    {
        SCOPED_TRACE("when that look is answered without the run");
        PollResponse empty;
        empty.clockMs = 6000;
        handlePollResponse(scene.engine, EngineFixture::incarnation("w1"), before, empty,
                           scene.now);
        EXPECT_TRUE(scene.start().empty()) << "the order may still be under way";
        {
            SCOPED_TRACE("then a look with a higher token that finds nothing frees the task");
            const auto looks = scene.poll();
            ASSERT_EQ(looks.size(), 1U);
            EXPECT_GT(looks[0].target.fencingToken, token);
            EXPECT_EQ(looks[0].wait, Milliseconds{0});
            scene.answer("w1");
            const auto again = scene.start();
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again[0].run, 2);
        }
    }
}

// Guards against a task that is taken for absent because the poll that settles older commands does
// not list it: its own order was sent beside that poll.
TEST(Reachability, OrderSentBesideASettlingLookIsNotSettledByIt)
{
    SCOPED_TRACE("given an unanswered start, and another task that is planned but not yet ordered");
    EngineFixture scene(1);
    scene.submit(submission(firstJob, step(1, 1000)));
    const auto first = scene.start();
    ASSERT_EQ(first.size(), 1U);
    scene.poll();
    const std::int64_t before = scene.worker("w1").lookNumber;
    scene.submit(submission(secondJob, step(1, 1000)));
    planStarts(scene.engine, scene.now);
    const Batch batch = collectBatch(scene.engine);
    scene.answerStart(first.at(0), StartResult::Unknown);
    {
        SCOPED_TRACE("when an older look opens the worker, so that the order leaves after all");
        PollResponse empty;
        empty.clockMs = 6000;
        handlePollResponse(scene.engine, EngineFixture::incarnation("w1"), before, empty,
                           scene.now);
        ASSERT_EQ(scene.poll().size(), 1U);
        applyStored(scene.engine, batch, scene.now);
        ASSERT_EQ(scene.take<StartCommand>().size(), 1U);
        {
            SCOPED_TRACE("then the settling look frees the first task and keeps the second");
            scene.answer("w1");
            const auto again = scene.start();
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again[0].task.job, JobId(firstJob));
            EXPECT_EQ(scene.job(secondJob).occurrences.at(0).steps[0][0].attempts.size(), 1U);
        }
    }
}

// Guards against a second run while the first still holds its lease on a worker that is cut off.
TEST(Reachability, SilentWorkerKeepsItsTasksUntilTheLeaseLapses)
{
    SCOPED_TRACE("given a task on a worker that falls silent");
    EngineFixture scene;
    scene.submit(submission(firstJob, step(1, 1000)));
    const auto starts = scene.startAll();
    const std::string id = starts.at(0).target.worker.id.text();
    scene.poll();
    scene.silence(id);
    const TimePoint renewedAt = scene.now;
    {
        SCOPED_TRACE("when looks go on without an answer until the lease must have lapsed");
        while (scene.now < renewedAt + scene.engine.limits.lease) {
            scene.now += Milliseconds{300};
            for (const PollCommand &poll : scene.poll()) {
                EXPECT_FALSE(poll.leaseUntilClockMs) << "a silent worker's lease is not renewed";
                scene.silence(id);
            }
            EXPECT_TRUE(scene.start().empty());
        }
        {
            SCOPED_TRACE("then the task starts on the other worker");
            scene.now += Milliseconds{1000};
            scene.poll();
            const auto again = scene.start();
            ASSERT_EQ(again.size(), 1U);
            EXPECT_NE(again[0].target.worker.id.text(), id);
        }
    }
}

// Guards against waiting for a worker that has restarted under its id.
TEST(Reachability, NewLifeFreesItsTasksAtOnce)
{
    SCOPED_TRACE("given a task on a worker");
    EngineFixture scene(1);
    scene.submit(submission(firstJob, step(1, 1000)));
    scene.startAll();
    {
        SCOPED_TRACE("when the registry shows a new life of the same id");
        scene.list("w1", 2);
        pollWorkers(scene.engine, scene.now);
        for (const PollCommand &poll : scene.take<PollCommand>()) {
            PollResponse answer;
            answer.clockMs = 10;
            handlePollResponse(scene.engine, poll.target.worker, poll.number, answer, scene.now);
        }
        {
            SCOPED_TRACE("then the task starts there again, with a higher run");
            const auto again = scene.start();
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again[0].target.worker, EngineFixture::incarnation("w1", 2));
            EXPECT_EQ(again[0].run, 2);
        }
    }
}

// Guards against a registry entry of an earlier incarnation that is read late.
TEST(Reachability, OldEntryIsIgnored)
{
    EngineFixture scene(1);
    scene.list("w1", 2);
    scene.list("w1", 1);
    EXPECT_EQ(scene.engine.newestIncarnations.at(WorkerId("w1")).startedUnixMs, 2);
}

// Guards against work beside a run that nobody accounts for.
TEST(Reachability, StrangersAreStoppedFirst)
{
    SCOPED_TRACE("given a worker that runs something unknown");
    EngineFixture scene(1);
    scene.submit(submission(firstJob, step(1, 1000)));
    scene.worker("w1").reachability = Reachability::Unconfirmed;
    scene.poll();
    scene.answer("w1", {running(7, 3)});
    EXPECT_FALSE(scene.take<StopCommand>().empty());
    EXPECT_TRUE(scene.start().empty());
    {
        SCOPED_TRACE("then it gets work once that has gone");
        scene.now += Milliseconds{100};
        scene.poll();
        scene.answer("w1");
        EXPECT_EQ(scene.start().size(), 1U);
    }
}

// Guards against doubled and lost work after a change of owner.
TEST(Reachability, TakeoverLearnsFromTheWorkers)
{
    SCOPED_TRACE("given what an earlier owner stored: two tasks ordered, one of them running");
    EngineFixture before;
    jobs::StepSpec apart = step(2, 1000);
    apart.antiAffinity = 1;
    before.submit(submission(firstJob, apart));
    const auto starts = before.startAll();
    ASSERT_EQ(starts.size(), 2U);
    const std::string progress = jobs::encodeProgress(before.job());

    EngineFixture after(0);
    after.submit(submission(firstJob, apart));
    const TimePoint lapsedAt = after.now + Milliseconds{9000};
    ASSERT_TRUE(adoptProgress(after.engine, JobId(firstJob), progress, lapsedAt, after.now));
    after.list("w1");
    after.list("w2");
    after.list("w3");
    after.poll();
    after.answer("w3");
    EXPECT_TRUE(after.start().empty()) << "both may still run";
    {
        SCOPED_TRACE("when one worker lists its run and the other does not");
        const std::string runs = starts[0].target.worker.id.text();
        const std::string idle = starts[1].target.worker.id.text();
        after.answer(runs, {running(starts[0].task.index, 1)});
        after.answer(idle);
        {
            SCOPED_TRACE("then only the missing one starts again");
            const auto again = after.start();
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again[0].task.index, starts[1].task.index);
            EXPECT_EQ(again[0].run, 2);
        }
    }
}

// Guards against taking away a task of a step while another one is missing on a silent worker.
TEST(Reachability, EvacuationCountsSilentWorkers)
{
    SCOPED_TRACE("given a lasting step of two tasks at work, and a third worker with room");
    EngineFixture scene(3);
    jobs::StepSpec lasting = step(2, 1000);
    lasting.longRunning = true;
    lasting.antiAffinity = 1;
    lasting.mayMiss = 1;
    scene.submit(submission(firstJob, lasting));
    const auto starts = scene.startAll();
    const std::string first = starts.at(0).target.worker.id.text();
    const std::string second = starts.at(1).target.worker.id.text();
    scene.poll();
    scene.answer(first, {running(starts[0].task.index, 1, 100)});
    scene.answer(second, {running(starts[1].task.index, 1, 100)});
    scene.worker(first).isCordoned = true;
    {
        SCOPED_TRACE("when the other worker has fallen silent");
        scene.now += Milliseconds{100};
        scene.poll();
        scene.silence(second);
        evacuate(scene.engine, scene.now);
        EXPECT_TRUE(scene.take<StopCommand>().empty());
        ASSERT_TRUE(scene.worker(first).heldBy);
        EXPECT_EQ(scene.worker(first).heldBy->missing, 1);
        EXPECT_TRUE(scene.worker(first).heldBy->hasCandidate);
    }
    {
        SCOPED_TRACE("then the task moves only after the other is at work again");
        scene.now += Milliseconds{400};
        scene.poll();
        scene.answer(second, {running(starts[1].task.index, 1, 100)});
        evacuate(scene.engine, scene.now);
        EXPECT_EQ(scene.take<StopCommand>().size(), 1U);
        EXPECT_FALSE(scene.worker(first).heldBy);
    }
}

// Guards against an operator who cannot tell why a worker is not empty yet.
TEST(Reachability, EvacuationSaysThatNoWorkerHasRoom)
{
    EngineFixture scene(1);
    jobs::StepSpec lasting = step(1, 1000);
    lasting.longRunning = true;
    scene.submit(submission(firstJob, lasting));
    const auto starts = scene.startAll();
    ASSERT_EQ(starts.size(), 1U);
    const std::string only = starts[0].target.worker.id.text();
    scene.poll();
    scene.answer(only, {running(starts[0].task.index, 1, 100)});
    scene.worker(only).isCordoned = true;
    evacuate(scene.engine, scene.now);
    EXPECT_TRUE(scene.take<StopCommand>().empty());
    ASSERT_TRUE(scene.worker(only).heldBy);
    EXPECT_FALSE(scene.worker(only).heldBy->hasCandidate);
}

// Guards against a step that loses one task to the last order of an owner and the next to the first
// order of its successor.
TEST(Reachability, SuccessorWaitsForStopsOfItsPredecessor)
{
    SCOPED_TRACE(
            "given a lasting step of two tasks, taken over while both are reported as at work");
    EngineFixture before(3);
    jobs::StepSpec lasting = step(2, 1000);
    lasting.longRunning = true;
    lasting.antiAffinity = 1;
    lasting.mayMiss = 1;
    before.submit(submission(firstJob, lasting));
    const auto starts = before.startAll();
    const std::string first = starts.at(0).target.worker.id.text();
    const std::string second = starts.at(1).target.worker.id.text();
    const std::string stored = jobs::encodeProgress(before.job());
    EngineFixture scene(3);
    scene.submit(submission(firstJob, lasting));
    ASSERT_TRUE(adoptProgress(scene.engine, JobId(firstJob), stored, scene.now, scene.now));
    scene.now += Milliseconds{50};
    scene.worker(first).openedAt = {};
    scene.worker(second).openedAt = {};
    const auto report = [&] {
        scene.poll();
        scene.answer(first, {running(starts[0].task.index, 1, 100)});
        scene.answer(second, {running(starts[1].task.index, 1, 100)});
        scene.worker(first).isCordoned = true;
        evacuate(scene.engine, scene.now);
        return scene.take<StopCommand>().size();
    };
    {
        SCOPED_TRACE("when a stop of the predecessor may still take effect");
        EXPECT_EQ(report(), 0U);
        scene.now += scene.engine.limits.stopTimeout - Milliseconds{10};
        EXPECT_EQ(report(), 0U);
    }
    {
        SCOPED_TRACE("then the task moves when it would have");
        scene.now += Milliseconds{10};
        EXPECT_EQ(report(), 1U);
    }
}

// Guards against a step that counts as short of a task for longer than it is: evacuations wait for
// it, and a poll that waits for an end does not tell of progress.
TEST(Reachability, TasksThatComeToWorkAreWatched)
{
    SCOPED_TRACE("given a long-running task that has just started");
    EngineFixture scene(1);
    jobs::StepSpec lasting = step(1, 1000);
    lasting.longRunning = true;
    scene.submit(submission(firstJob, lasting));
    const auto starts = scene.startAll();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_LE(scene.poll().at(0).wait, Milliseconds{300});
    {
        SCOPED_TRACE("then looks wait for an end when it is at work");
        scene.answer("w1", {{EngineFixture::ref().task, 1, "", 40, 0}});
        EXPECT_LE(scene.poll().at(0).wait, Milliseconds{300});
        scene.answer("w1", {{EngineFixture::ref().task, 1, "", 100, 0}});
        EXPECT_GE(scene.poll().at(0).wait, Milliseconds{1000});
    }
}

// Guards against a late answer of the past taking a worker for idle.
TEST(Reachability, AnswerOfAnEarlierLookIsDropped)
{
    EngineFixture scene(1);
    scene.submit(submission(firstJob, step(1, 1000)));
    scene.startAll();
    scene.poll();
    handlePollResponse(scene.engine, EngineFixture::incarnation("w1"),
                       scene.worker("w1").lookNumber - 1, PollResponse{0, 6000, {}, {}, false},
                       scene.now);
    EXPECT_TRUE(scene.start().empty());
    EXPECT_EQ(scene.worker("w1").attempts.size(), 1U);
}

}  // namespace
}  // namespace poplarstream::engine
