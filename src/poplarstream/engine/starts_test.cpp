#include <algorithm>  // for count_if

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/engine/job_queries.hpp"  // for waitingJobs, stateOf

namespace poplarstream::engine {
namespace {

using test::EngineFixture;
using test::firstJob;
using test::step;
using test::submission;

// Guards against a duplicate run by a new owner that doesn't know of the first one: a start command
// must not be sent before it is durable.
TEST(Starts, DurableBeforeSent)
{
    SCOPED_TRACE("given a waiting job");
    EngineFixture fixture;
    fixture.submit(submission(firstJob, step(2, 1000)));
    {
        SCOPED_TRACE("when its tasks are planned");
        planStarts(fixture.engine, fixture.now);
        EXPECT_TRUE(fixture.take<StartCommand>().empty());
        const Batch batch = collectBatch(fixture.engine);
        ASSERT_EQ(batch.starts.size(), 2U);
        EXPECT_TRUE(fixture.take<StartCommand>().empty());
        {
            SCOPED_TRACE("then their starts are sent once the batch is stored");
            applyStored(fixture.engine, batch, fixture.now);
            EXPECT_EQ(fixture.take<StartCommand>().size(), 2U);
        }
    }
}

// Guards against a job that callers see as completed although a crash loses its completion.
TEST(Starts, CompletedOnlyWhenDurable)
{
    SCOPED_TRACE("given a job whose only task runs");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    fixture.startAll();
    fixture.poll();
    {
        SCOPED_TRACE("when the worker reports its completion");
        fixture.answer("w1", {},
                       {{1, EngineFixture::ref().task, 1, jobs::AttemptResult::Done, ""}});
        const auto queue = QueueId("proofs");
        EXPECT_EQ(stateOf(fixture.engine, queue, JobId(firstJob)), jobs::JobState::Running);
        EXPECT_EQ(fixture.worker("w1").completionsStored, 0);
        {
            SCOPED_TRACE("then the state is visible and the completion acknowledged only after it "
                         "is stored");
            fixture.store();
            EXPECT_EQ(stateOf(fixture.engine, queue, JobId(firstJob)), jobs::JobState::Completed);
            EXPECT_EQ(fixture.worker("w1").completionsStored, 1);
            fixture.submit(submission(test::secondJob, step(1, 1000)));
            fixture.startAll();
            const auto polls = fixture.poll();
            ASSERT_EQ(polls.size(), 1U);
            EXPECT_EQ(polls[0].acknowledged, 1);
        }
    }
}

// Guards against overloading a worker: workers start every task they are told to.
TEST(Starts, CapacityIsReservedWhileStopping)
{
    SCOPED_TRACE("given a full worker and a second, waiting job");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(4, 1000)));
    fixture.startAll();
    fixture.submit(submission(test::secondJob, step(1, 1000)));
    {
        SCOPED_TRACE("when the first job is cancelled");
        cancelJob(fixture.engine, JobId(firstJob), fixture.now);
        EXPECT_EQ(fixture.take<StopCommand>().size(), 4U);
        EXPECT_TRUE(fixture.start().empty());
        {
            SCOPED_TRACE("then capacity is free once the worker reports a completion");
            fixture.poll();
            fixture.answer("w1", {},
                           {{1, EngineFixture::ref(0).task, 1, jobs::AttemptResult::Stopped, ""}});
            EXPECT_EQ(fixture.start().size(), 1U);
        }
    }
}

// Guards against starts beyond the capacity of a worker whose capacity shrinks while they are being
// written: a worker that does not guard its capacity starts whatever it is told to.
TEST(Starts, CapacityShrinksWhileBeingWritten)
{
    SCOPED_TRACE("given four starts of 1 core whose write is in flight");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(4, 1000)));
    planStarts(fixture.engine, fixture.now);
    const Batch batch = collectBatch(fixture.engine);
    {
        SCOPED_TRACE("when the registry shows that the worker has 2 cores left");
        WorkerEntry entry = fixture.worker("w1").entry;
        entry.capacity.cpuMilli = 2000;
        registerWorker(fixture.engine, entry, fixture.now);
        applyStored(fixture.engine, batch, fixture.now);
        {
            SCOPED_TRACE("then two are sent, and the others once the capacity has grown again");
            EXPECT_EQ(fixture.take<StartCommand>().size(), 2U);
            EXPECT_TRUE(fixture.start().empty());
            entry.capacity.cpuMilli = 4000;
            fixture.engine.needsPlan = false;
            registerWorker(fixture.engine, entry, fixture.now);
            EXPECT_TRUE(fixture.engine.needsPlan);
            EXPECT_EQ(fixture.start().size(), 2U);
            EXPECT_EQ(fixture.worker("w1").used.cpuMilli, 4000);
        }
    }
}

// Guards against gang members that wait in vain for one whose worker has shrunk before it started.
TEST(Starts, GangIsHeldWhenOneWorkerShrinks)
{
    SCOPED_TRACE("given a gang on two workers whose write is in flight");
    EngineFixture fixture(2);
    jobs::StepSpec gang = step(2, 3000);
    gang.gang = true;
    fixture.submit(submission(firstJob, gang));
    planStarts(fixture.engine, fixture.now);
    const Batch batch = collectBatch(fixture.engine);
    ASSERT_EQ(batch.starts.size(), 2U);
    {
        SCOPED_TRACE("when one worker shrinks below its member");
        WorkerEntry entry = fixture.worker("w2").entry;
        entry.capacity.cpuMilli = 2000;
        registerWorker(fixture.engine, entry, fixture.now);
        applyStored(fixture.engine, batch, fixture.now);
        {
            SCOPED_TRACE("then no member starts, and no capacity stays reserved");
            EXPECT_TRUE(fixture.take<StartCommand>().empty());
            EXPECT_EQ(fixture.worker("w1").used, jobs::Resources{});
            EXPECT_EQ(fixture.worker("w2").used, jobs::Resources{});
        }
    }
}

// Guards against a start after the caller got confirmation of the cancellation.
TEST(Starts, CancelledWhileBeingWritten)
{
    SCOPED_TRACE("given a start whose write is in flight");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    planStarts(fixture.engine, fixture.now);
    const Batch batch = collectBatch(fixture.engine);
    {
        SCOPED_TRACE("when the job is cancelled before the write completes");
        cancelJob(fixture.engine, JobId(firstJob), fixture.now);
        applyStored(fixture.engine, batch, fixture.now);
        {
            SCOPED_TRACE("then nothing is sent and the capacity is free");
            EXPECT_TRUE(fixture.take<StartCommand>().empty());
            EXPECT_EQ(fixture.worker("w1").used, jobs::Resources{});
        }
    }
}

// Guards against running a job whose cancellation was read before its submission.
TEST(Starts, CancelledBeforeSubmissionIsRead)
{
    SCOPED_TRACE("given the cancellation of an unknown job");
    EngineFixture fixture(1);
    cancelJob(fixture.engine, JobId(firstJob), fixture.now);
    {
        SCOPED_TRACE("when the submission is read twice");
        fixture.submit(submission(firstJob, step(1, 1000)));
        fixture.submit(submission(firstJob, step(1, 1000)));
        {
            SCOPED_TRACE("then it is cancelled and never starts");
            EXPECT_EQ(fixture.job().state, jobs::JobState::Cancelled);
            EXPECT_TRUE(fixture.start().empty());
        }
    }
}

// Guards against more attempts than the queue allows.
TEST(Starts, FailedAfterTheLastAttempt)
{
    SCOPED_TRACE("given a job whose task always fails");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    for (int run = 1; run <= 3; ++run) {
        ASSERT_EQ(fixture.startAll().size(), 1U) << "run " << run;
        fixture.poll();
        fixture.answer("w1", {},
                       {{run, EngineFixture::ref().task, run, jobs::AttemptResult::Failed, ""}});
        fixture.store();
        fixture.now += Milliseconds{2500};
    }
    {
        SCOPED_TRACE("then the job has failed and doesn't start again");
        EXPECT_EQ(fixture.job().state, jobs::JobState::Failed);
        EXPECT_TRUE(fixture.start().empty());
    }
}

// Guards against a task that never restarts because it failed on the only worker with free
// capacity.
TEST(Starts, RetriesOnFailedWorkerAfterDelay)
{
    SCOPED_TRACE("given a task that failed on one worker, while the other is full");
    EngineFixture fixture;
    jobs::StepSpec filling = step(1, 4000);
    filling.longRunning = true;
    fixture.submit(submission(test::secondJob, filling));
    fixture.startAll();
    fixture.submit(submission(firstJob, step(1, 3000)));
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    const std::string failing = starts[0].target.worker.id.text();
    fixture.poll();
    fixture.answer(failing, {},
                   {{1, EngineFixture::ref().task, 1, jobs::AttemptResult::Failed, ""}});
    fixture.store();
    fixture.now += Milliseconds{100};
    EXPECT_TRUE(fixture.start().empty());
    {
        SCOPED_TRACE("then it restarts on the same worker after a delay");
        fixture.now += Milliseconds{1000};
        EXPECT_EQ(fixture.start().size(), 1U);
    }
}

// Guards against a count without the jobs that were planned during an outage of the store.
TEST(Starts, PlannedJobsStillCountAsWaiting)
{
    SCOPED_TRACE("given a job whose start is planned but not stored");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    planStarts(fixture.engine, fixture.now);
    EXPECT_EQ(waitingJobs(fixture.engine, QueueId("proofs")), 1);
    {
        SCOPED_TRACE("then it counts as waiting until a worker confirms the start");
        fixture.store();
        const auto starts = fixture.take<StartCommand>();
        EXPECT_EQ(waitingJobs(fixture.engine, QueueId("proofs")), 1);
        fixture.answerStart(starts.at(0));
        EXPECT_EQ(waitingJobs(fixture.engine, QueueId("proofs")), 0);
    }
}

// Guards against gang members that wait for others without free capacity.
TEST(Starts, GangStartsAllOrNothing)
{
    SCOPED_TRACE("given a gang of three and capacity for two");
    EngineFixture fixture(1);
    jobs::StepSpec gang = step(3, 2000);
    gang.gang = true;
    fixture.submit(submission(firstJob, gang));
    EXPECT_TRUE(fixture.start().empty());
    {
        SCOPED_TRACE("when a second worker is added");
        fixture.addWorker("w2");
        fixture.poll();
        fixture.answerPolls();
        const auto starts = fixture.startAll();
        {
            SCOPED_TRACE("then all start with the same run number");
            ASSERT_EQ(starts.size(), 3U);
            EXPECT_TRUE(starts[0].run == starts[1].run && starts[1].run == starts[2].run);
        }
    }
}

// Guards against losing several tasks of an anti-affinity step with one worker.
TEST(Starts, AntiAffinity)
{
    SCOPED_TRACE("given a step of three tasks, at most one per worker, and two workers");
    EngineFixture fixture;
    jobs::StepSpec apart = step(3, 500);
    apart.antiAffinity = 1;
    fixture.submit(submission(firstJob, apart));
    const auto starts = fixture.start();
    {
        SCOPED_TRACE("then two start, on different workers");
        ASSERT_EQ(starts.size(), 2U);
        EXPECT_NE(starts[0].target.worker, starts[1].target.worker);
    }
}

// Guards against starts by a process that may no longer be the owner.
TEST(Starts, NoneWithoutConfirmedOwnership)
{
    SCOPED_TRACE("given a start that has just been stored");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    planStarts(fixture.engine, fixture.now);
    const Batch batch = collectBatch(fixture.engine);
    {
        SCOPED_TRACE("when the ownership is no longer confirmed");
        fixture.engine.mayStart = false;
        applyStored(fixture.engine, batch, fixture.now);
        EXPECT_TRUE(fixture.take<StartCommand>().empty());
    }
}

// Guards against a log that costs the owner its time under load: decisions beyond what the log
// takes are only counted, and the others are complete.
TEST(Starts, FrequentDecisionsBeyondTheAllowanceAreCounted)
{
    EngineFixture fixture(1);
    fixture.engine.decisions.clear();
    fixture.engine.decisionAllowance = 1;
    fixture.submit(submission(firstJob, step(3, 1000)));
    EXPECT_EQ(fixture.start().size(), 3U);
    EXPECT_EQ(fixture.engine.decisions.size(), 1U);
    EXPECT_EQ(fixture.engine.decisionsOmitted, 2U);
    cancelJob(fixture.engine, JobId(firstJob), fixture.now);
    EXPECT_EQ(fixture.engine.decisions.size(), 4U) << "rare decisions are always queued";
}

// Guards against idle capacity: once a large task fits nowhere, steps that need as much are
// skipped, but a smaller task of a lower rank still gets the rest.
TEST(Starts, SmallTaskIsPlacedAfterLargeOneDidNotFit)
{
    SCOPED_TRACE("given a worker of 4 cores, three large tasks, three more, and a small one");
    EngineFixture fixture(1);
    jobs::Submission small = submission("00000000000000c3", step(1, 1000));
    small.policy.priority = 1;
    fixture.submit(submission(firstJob, step(3, 1500)));
    fixture.submit(submission(test::secondJob, step(3, 1500)));
    fixture.submit(small);
    {
        SCOPED_TRACE("when starts are planned");
        const auto starts = fixture.start();
        {
            SCOPED_TRACE("then two large tasks and the small one start");
            ASSERT_EQ(starts.size(), 3U);
            EXPECT_EQ(std::count_if(starts.begin(), starts.end(),
                                    [&](const StartCommand &start) {
                                        return start.task.job == small.id;
                                    }),
                      1);
            EXPECT_EQ(fixture.worker("w1").used.cpuMilli, 4000);
        }
    }
}

// Guards against a job that is forgotten while it waits: each plan ranks only the jobs that had
// waiting tasks in the last one.
TEST(Starts, QueuedJobStartsWhenCapacityIsFree)
{
    SCOPED_TRACE("given a full worker and a job that has never started a task");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(4, 1000)));
    fixture.startAll();
    fixture.submit(submission(test::secondJob, step(2, 1000)));
    EXPECT_TRUE(fixture.start().empty());
    EXPECT_TRUE(fixture.start().empty());
    {
        SCOPED_TRACE("when a task ends");
        const auto running = [](int index) {
            return RunningReport{EngineFixture::ref(index).task, 1, "", 10, 0};
        };
        fixture.poll();
        fixture.answer("w1", {running(1), running(2), running(3)},
                       {{1, EngineFixture::ref(0).task, 1, jobs::AttemptResult::Done, ""}});
        {
            SCOPED_TRACE("then one task of the waiting job starts, and the other still waits");
            const auto starts = fixture.startAll();
            ASSERT_EQ(starts.size(), 1U);
            EXPECT_EQ(starts[0].task.job, JobId(test::secondJob));
            EXPECT_TRUE(fixture.start().empty());
            EXPECT_EQ(waitingJobs(fixture.engine, QueueId("proofs")), 0);
            EXPECT_TRUE(fixture.engine.waiting.contains(fixture.job(test::secondJob)));
        }
    }
}

// Guards against a large job of which the store refuses the progress, so that nothing of any job
// starts any more: review/1 hands in 19,000 tasks.
TEST(Starts, RecordsOfALargeJobFitTheStore)
{
    constexpr std::size_t storeLimit = 262'144;
    constexpr int taskCount = 19'000;
    SCOPED_TRACE("given a job of 19,000 tasks that have all been started");
    EngineFixture fixture(20);
    jobs::StepSpec small = step(taskCount, 4);
    small.need.memoryMb = 0;
    fixture.submit(submission(firstJob, small));
    planStarts(fixture.engine, fixture.now);
    const Batch batch = collectBatch(fixture.engine);
    EXPECT_GT(batch.starts.size(), static_cast<std::size_t>(taskCount / 2));
    {
        SCOPED_TRACE("then each of its records fits into the store");
        for (const ProgressRecord &record : batch.records) {
            EXPECT_LE(record.key.size() + record.value.value_or("").size(), storeLimit);
        }
    }
    {
        SCOPED_TRACE("and the end of one task writes a small part of them");
        applyStored(fixture.engine, batch, fixture.now);
        const StartCommand start = fixture.take<StartCommand>().front();
        fixture.answerStart(start);
        fixture.poll();
        fixture.answer(start.target.worker.id.text(), {},
                       {{1, start.task, start.run, jobs::AttemptResult::Done, ""}});
        std::size_t bytes = 0;
        for (const ProgressRecord &record : collectBatch(fixture.engine).records) {
            bytes += record.value.value_or("").size();
        }
        EXPECT_LT(bytes, 16'384U);
    }
}

}  // namespace
}  // namespace poplarstream::engine
