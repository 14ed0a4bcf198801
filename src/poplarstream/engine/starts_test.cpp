#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/engine/job_queries.hpp"  // for waitingJobs, stateOf

namespace poplarstream::engine {
namespace {

using test::EngineFixture;
using test::firstJob;
using test::step;
using test::submission;

// Guards against a second run by a successor that does not know of the first: an order must not
// leave before the store has it.
TEST(Starts, DurableBeforeSent)
{
    SCOPED_TRACE("given a job that waits");
    EngineFixture scene;
    scene.submit(submission(firstJob, step(2, 1000)));
    {
        SCOPED_TRACE("when its tasks are planned");
        planStarts(scene.engine, scene.now);
        EXPECT_TRUE(scene.take<StartCommand>().empty());
        const Batch batch = collectBatch(scene.engine);
        ASSERT_EQ(batch.starts.size(), 2U);
        EXPECT_TRUE(scene.take<StartCommand>().empty());
        {
            SCOPED_TRACE("then they are sent when the store has the batch");
            applyStored(scene.engine, batch, scene.now);
            EXPECT_EQ(scene.take<StartCommand>().size(), 2U);
        }
    }
}

// Guards against a job that is shown as completed and forgotten with the process.
TEST(Starts, CompletedOnlyWhenDurable)
{
    SCOPED_TRACE("given a job whose only task runs");
    EngineFixture scene(1);
    scene.submit(submission(firstJob, step(1, 1000)));
    scene.startAll();
    scene.poll();
    {
        SCOPED_TRACE("when the worker lists its end");
        scene.answer("w1", {}, {{1, EngineFixture::ref().task, 1, jobs::AttemptResult::Done, ""}});
        const auto queue = QueueId("proofs");
        EXPECT_EQ(stateOf(scene.engine, queue, JobId(firstJob)), jobs::JobState::Running);
        EXPECT_EQ(scene.worker("w1").completionsStored, 0);
        {
            SCOPED_TRACE("then it is shown, and the end acknowledged, after the store has it");
            scene.store();
            EXPECT_EQ(stateOf(scene.engine, queue, JobId(firstJob)), jobs::JobState::Completed);
            EXPECT_EQ(scene.worker("w1").completionsStored, 1);
            scene.submit(submission(test::secondJob, step(1, 1000)));
            scene.startAll();
            const auto looks = scene.poll();
            ASSERT_EQ(looks.size(), 1U);
            EXPECT_EQ(looks[0].acknowledged, 1);
        }
    }
}

// Guards against a worker that is loaded over its room: workers start whatever they are told.
TEST(Starts, RoomIsKeptWhileStopping)
{
    SCOPED_TRACE("given a worker that is full, and a second job that waits");
    EngineFixture scene(1);
    scene.submit(submission(firstJob, step(4, 1000)));
    scene.startAll();
    scene.submit(submission(test::secondJob, step(1, 1000)));
    {
        SCOPED_TRACE("when the first job is cancelled");
        cancelJob(scene.engine, JobId(firstJob), scene.now);
        EXPECT_EQ(scene.take<StopCommand>().size(), 4U);
        EXPECT_TRUE(scene.start().empty());
        {
            SCOPED_TRACE("then the room is free when the worker lists the ends");
            scene.poll();
            scene.answer("w1", {},
                         {{1, EngineFixture::ref(0).task, 1, jobs::AttemptResult::Stopped, ""}});
            EXPECT_EQ(scene.start().size(), 1U);
        }
    }
}

// Guards against a start after the caller was told that the job is cancelled.
TEST(Starts, CancelledWhileBeingWritten)
{
    SCOPED_TRACE("given a start that is being written to the store");
    EngineFixture scene(1);
    scene.submit(submission(firstJob, step(1, 1000)));
    planStarts(scene.engine, scene.now);
    const Batch batch = collectBatch(scene.engine);
    {
        SCOPED_TRACE("when the job is cancelled before the store answers");
        cancelJob(scene.engine, JobId(firstJob), scene.now);
        applyStored(scene.engine, batch, scene.now);
        {
            SCOPED_TRACE("then nothing is sent and the room is free");
            EXPECT_TRUE(scene.take<StartCommand>().empty());
            EXPECT_EQ(scene.worker("w1").used, jobs::Resources{});
        }
    }
}

// Guards against a job that is run although its cancellation was read first.
TEST(Starts, CancelledBeforeItWasSeen)
{
    SCOPED_TRACE("given a cancellation of a job that was not seen yet");
    EngineFixture scene(1);
    cancelJob(scene.engine, JobId(firstJob), scene.now);
    {
        SCOPED_TRACE("when the submission is read, and read again");
        scene.submit(submission(firstJob, step(1, 1000)));
        scene.submit(submission(firstJob, step(1, 1000)));
        {
            SCOPED_TRACE("then it is cancelled and never starts");
            EXPECT_EQ(scene.job().state, jobs::JobState::Cancelled);
            EXPECT_TRUE(scene.start().empty());
        }
    }
}

// Guards against more attempts than the queue allows.
TEST(Starts, FailedAfterTheLastAttempt)
{
    SCOPED_TRACE("given a job whose task fails each time");
    EngineFixture scene(1);
    scene.submit(submission(firstJob, step(1, 1000)));
    for (int run = 1; run <= 3; ++run) {
        ASSERT_EQ(scene.startAll().size(), 1U) << "run " << run;
        scene.poll();
        scene.answer("w1", {},
                     {{run, EngineFixture::ref().task, run, jobs::AttemptResult::Failed, ""}});
        scene.store();
        scene.now += Milliseconds{2500};
    }
    {
        SCOPED_TRACE("then the job has failed and starts no more");
        EXPECT_EQ(scene.job().state, jobs::JobState::Failed);
        EXPECT_TRUE(scene.start().empty());
    }
}

// Guards against a task that waits for ever: it failed on the only worker with room.
TEST(Starts, RetriesWhereItFailedAfterAWhile)
{
    SCOPED_TRACE("given a task that failed on one worker, while the other is full");
    EngineFixture scene;
    jobs::StepSpec filling = step(1, 4000);
    filling.longRunning = true;
    scene.submit(submission(test::secondJob, filling));
    scene.startAll();
    scene.submit(submission(firstJob, step(1, 3000)));
    const auto starts = scene.startAll();
    ASSERT_EQ(starts.size(), 1U);
    const std::string failing = starts[0].target.worker.id.text();
    scene.poll();
    scene.answer(failing, {}, {{1, EngineFixture::ref().task, 1, jobs::AttemptResult::Failed, ""}});
    scene.store();
    scene.now += Milliseconds{100};
    EXPECT_TRUE(scene.start().empty());
    {
        SCOPED_TRACE("then it starts there again after a while");
        scene.now += Milliseconds{1000};
        EXPECT_EQ(scene.start().size(), 1U);
    }
}

// Guards against a count that leaves out jobs whose start was planned while the store was away.
TEST(Starts, PlannedJobsStillWait)
{
    SCOPED_TRACE("given a job whose start is planned but not stored");
    EngineFixture scene(1);
    scene.submit(submission(firstJob, step(1, 1000)));
    planStarts(scene.engine, scene.now);
    EXPECT_EQ(waitingJobs(scene.engine, QueueId("proofs")), 1);
    {
        SCOPED_TRACE("then it waits until a worker says that it has begun");
        scene.store();
        const auto starts = scene.take<StartCommand>();
        EXPECT_EQ(waitingJobs(scene.engine, QueueId("proofs")), 1);
        scene.answerStart(starts.at(0));
        EXPECT_EQ(waitingJobs(scene.engine, QueueId("proofs")), 0);
    }
}

// Guards against a gang that waits for members that find no room.
TEST(Starts, GangStartsWholeOrNotAtAll)
{
    SCOPED_TRACE("given a gang of three and room for two");
    EngineFixture scene(1);
    jobs::StepSpec gang = step(3, 2000);
    gang.gang = true;
    scene.submit(submission(firstJob, gang));
    EXPECT_TRUE(scene.start().empty());
    {
        SCOPED_TRACE("when a second worker comes");
        scene.list("w2");
        scene.poll();
        scene.answerLooks();
        const auto starts = scene.startAll();
        {
            SCOPED_TRACE("then all start with the same run");
            ASSERT_EQ(starts.size(), 3U);
            EXPECT_TRUE(starts[0].run == starts[1].run && starts[1].run == starts[2].run);
        }
    }
}

// Guards against the loss of one worker taking several tasks of a step that wants them apart.
TEST(Starts, AntiAffinity)
{
    SCOPED_TRACE("given a step of three tasks, one a worker, and two workers");
    EngineFixture scene;
    jobs::StepSpec apart = step(3, 500);
    apart.antiAffinity = 1;
    scene.submit(submission(firstJob, apart));
    const auto starts = scene.start();
    {
        SCOPED_TRACE("then two start, on different workers");
        ASSERT_EQ(starts.size(), 2U);
        EXPECT_NE(starts[0].target.worker, starts[1].target.worker);
    }
}

// Guards against starts by an owner that cannot confirm that it still is one.
TEST(Starts, NoneWithoutConfirmedOwnership)
{
    SCOPED_TRACE("given a start that the store has just taken");
    EngineFixture scene(1);
    scene.submit(submission(firstJob, step(1, 1000)));
    planStarts(scene.engine, scene.now);
    const Batch batch = collectBatch(scene.engine);
    {
        SCOPED_TRACE("when the ownership is no longer confirmed");
        scene.engine.mayStart = false;
        applyStored(scene.engine, batch, scene.now);
        EXPECT_TRUE(scene.take<StartCommand>().empty());
    }
}

}  // namespace
}  // namespace poplarstream::engine
