#include <algorithm>  // for max

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/engine/crashes.hpp"  // for recordSilence
#include "poplarstream/jobs/codec.hpp"  // for encodeProgress
#include "poplarstream/jobs/queries.hpp"  // for isFinal

namespace poplarstream::engine {
namespace {

using test::EngineFixture;
using test::firstJob;
using test::secondJob;
using test::step;
using test::submission;

jobs::Task &taskOf(EngineFixture &fixture, const std::string &id = firstJob, std::size_t index = 0)
{
    return fixture.job(id).occurrences.at(0).steps[0][index];
}

// The worker of the only attempt of a task.
WorkerIncarnation workerOf(EngineFixture &fixture, const std::string &id = firstJob,
                           std::size_t index = 0)
{
    return taskOf(fixture, id, index).attempts.at(0).worker;
}

void answerAs(EngineFixture &fixture, const WorkerIncarnation &incarnation,
              std::vector<RunningReport> running = {})
{
    PollResponse response;
    response.clockMs = fixture.workerClockMs();
    response.running = std::move(running);
    handlePollResponse(fixture.engine, incarnation,
                       fixture.engine.workers.at(incarnation).pollNumber, response, fixture.now);
}

// Restarts a worker without notice; the new incarnation responds to a poll.
void crash(EngineFixture &fixture, const WorkerIncarnation &incarnation)
{
    const WorkerIncarnation next{incarnation.id, incarnation.startedUnixMs + 1};
    fixture.addWorker(next.id.text(), next.startedUnixMs);
    fixture.now += Milliseconds{2000};
    fixture.poll();
    answerAs(fixture, next);
}

RunningReport runningOf(const StartCommand &command)
{
    return {command.task, command.run, "", 10, 0};
}

// Reports all runs as alive for a time, with a poll each second.
void runFor(EngineFixture &fixture, const std::vector<StartCommand> &runs, Milliseconds duration)
{
    for (const TimePoint until = fixture.now + duration; fixture.now < until;) {
        fixture.now += Milliseconds{1000};
        for (const PollCommand &poll : fixture.poll()) {
            std::vector<RunningReport> running;
            for (const StartCommand &run : runs) {
                if (run.target.worker == poll.target.worker) {
                    running.push_back(runningOf(run));
                }
            }
            answerAs(fixture, poll.target.worker, running);
        }
    }
}

// Guards against a task that takes down worker after worker, since nothing counts the workers that
// ended under it.
TEST(Crashes, TaskIsGivenUpAfterItsSecondWorker)
{
    SCOPED_TRACE("given a task alone on its worker, which crashes");
    EngineFixture fixture(3);
    fixture.submit(submission(firstJob, step(1, 1000)));
    ASSERT_EQ(fixture.startAll().size(), 1U);
    crash(fixture, workerOf(fixture));
    EXPECT_FALSE(jobs::isFinal(fixture.job().state)) << "one crash proves nothing";
    {
        SCOPED_TRACE("when the next worker crashes under it, too");
        ASSERT_EQ(fixture.startAll().size(), 1U);
        crash(fixture, workerOf(fixture));
        {
            SCOPED_TRACE("then its job has failed and it does not start again");
            EXPECT_EQ(fixture.job().state, jobs::JobState::Failed);
            EXPECT_TRUE(fixture.start().empty());
        }
    }
}

// Guards against a task that lasts and is restarted for ever because it has no limit of attempts.
TEST(Crashes, LongRunningTaskIsGivenUp)
{
    EngineFixture fixture(3);
    jobs::StepSpec lasting = step(1, 1000);
    lasting.longRunning = true;
    fixture.submit(submission(firstJob, lasting));
    for (int crashes = 0; crashes < 2; ++crashes) {
        ASSERT_EQ(fixture.startAll().size(), 1U);
        crash(fixture, workerOf(fixture));
    }
    EXPECT_EQ(fixture.job().state, jobs::JobState::Failed);
    EXPECT_TRUE(fixture.start().empty());
}

// Guards against a count that starts anew with each owner: a task could then take down any number
// of workers on a day on which the ownership changes often.
TEST(Crashes, CountOutlivesTheOwner)
{
    SCOPED_TRACE("given a task whose first worker crashed, and its stored progress");
    EngineFixture before(2);
    const jobs::Submission job = submission(firstJob, step(1, 1000));
    before.submit(job);
    ASSERT_EQ(before.startAll().size(), 1U);
    crash(before, workerOf(before));
    const std::string stored = jobs::encodeProgress(before.job());
    {
        SCOPED_TRACE("when another owner adopts it and its worker crashes again");
        EngineFixture after(2);
        after.submit(job);
        ASSERT_TRUE(adoptProgress(after.engine, JobId(firstJob), stored, after.now, after.now));
        ASSERT_EQ(after.startAll().size(), 1U);
        crash(after, workerOf(after));
        {
            SCOPED_TRACE("then its job has failed");
            EXPECT_EQ(after.job().state, jobs::JobState::Failed);
        }
    }
}

// Guards against a crash that goes unnoticed because the leases of the worker had been taken for
// expired before its restart was seen.
TEST(Crashes, RestartAfterTheLeaseExpiredCounts)
{
    SCOPED_TRACE("given a task whose workers fall silent until their leases have expired");
    EngineFixture fixture(3);
    fixture.submit(submission(firstJob, step(1, 1000)));
    for (int crashes = 0; crashes < 2; ++crashes) {
        ASSERT_EQ(fixture.startAll().size(), 1U);
        const WorkerIncarnation silent = workerOf(fixture);
        fixture.poll();
        handlePollResponse(fixture.engine, silent, fixture.engine.workers.at(silent).pollNumber, {},
                           fixture.now);
        deregisterWorker(fixture.engine, silent.id);
        fixture.now += Milliseconds{7000};
        fixture.poll();
        ASSERT_TRUE(taskOf(fixture).attempts.empty());
        crash(fixture, silent);
    }
    {
        SCOPED_TRACE("then its job has failed once both have restarted");
        EXPECT_EQ(fixture.job().state, jobs::JobState::Failed);
    }
}

// Guards against giving up tasks because of a partition: the worker still has its incarnation.
TEST(Crashes, WorkerThatWasCutOffDoesNotCount)
{
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    for (int cuts = 0; cuts < 4; ++cuts) {
        ASSERT_EQ(fixture.startAll().size(), 1U) << "cut " << cuts;
        fixture.poll();
        fixture.leavePollUnanswered("w1");
        fixture.now += Milliseconds{7000};
        fixture.poll();
        ASSERT_TRUE(taskOf(fixture).attempts.empty());
        fixture.now += Milliseconds{200};
        fixture.poll();
        fixture.answer("w1");
    }
    EXPECT_EQ(taskOf(fixture).crashes, 0);
    EXPECT_FALSE(jobs::isFinal(fixture.job().state));
}

// Guards against giving up tasks because of planned work: workers that drain and leave, and
// machines that this owner moves or sends to maintenance.
TEST(Crashes, PlannedEndsDoNotCount)
{
    EngineFixture fixture(2);
    fixture.submit(submission(firstJob, step(1, 1000)));
    for (int round = 0; round < 4; ++round) {
        ASSERT_EQ(fixture.startAll().size(), 1U) << "round " << round;
        const WorkerIncarnation worker = workerOf(fixture);
        if (round % 2 == 0) {
            fixture.addWorker(worker.id.text(), worker.startedUnixMs, true);
        } else {
            endIncarnation(fixture.engine, worker, EndEvidence::MachineCommand, fixture.now);
        }
        crash(fixture, worker);
    }
    EXPECT_EQ(taskOf(fixture).crashes, 0);
    EXPECT_FALSE(jobs::isFinal(fixture.job().state));
}

// Guards against a task that is started without end since it takes its worker down before that has
// answered the start; and against blaming a task whose start found no worker any more.
TEST(Crashes, CrashBeforeTheStartIsAnsweredCounts)
{
    for (const bool isSameId : {true, false}) {
        for (const StartResult result : {StartResult::ConnectionLost, StartResult::Unknown}) {
            SCOPED_TRACE(result == StartResult::ConnectionLost
                                 ? "given workers that end the connection with the start on it"
                                 : "given workers that leave the start without an answer");
            EngineFixture fixture(8);
            fixture.submit(submission(firstJob, step(1, 1000)));
            int starts = 0;
            for (int round = 0; round < 8; ++round) {
                const auto sent = fixture.start();
                if (sent.empty()) {
                    break;
                }
                ++starts;
                const WorkerIncarnation worker = sent.at(0).target.worker;
                fixture.now += Milliseconds{5};
                fixture.answerStart(sent[0], result);
                fixture.poll();
                handlePollResponse(fixture.engine, worker,
                                   fixture.engine.workers.at(worker).pollNumber, {}, fixture.now);
                fixture.now += Milliseconds{400};
                if (isSameId) {
                    crash(fixture, worker);
                } else {
                    endIncarnation(fixture.engine, worker, EndEvidence::MachineAbsent, fixture.now);
                }
            }
            const bool isBlamed = result == StartResult::ConnectionLost;
            EXPECT_EQ(fixture.job().state,
                      isBlamed ? jobs::JobState::Failed : jobs::JobState::Running);
            EXPECT_EQ(starts, isBlamed ? 2 : 8);
        }
    }
}

// Guards against blaming a task whose start the worker refused, and which thus never ran there.
TEST(Crashes, RefusedStartsDoNotCount)
{
    EngineFixture fixture(2);
    fixture.submit(submission(firstJob, step(1, 1000)));
    for (int round = 0; round < 4; ++round) {
        const auto starts = fixture.start();
        ASSERT_EQ(starts.size(), 1U) << "round " << round;
        fixture.answerStart(starts[0],
                            round % 2 == 0 ? StartResult::Late : StartResult::NoCapacity);
        crash(fixture, starts[0].target.worker);
    }
    EXPECT_EQ(taskOf(fixture).crashes, 0);
}

// Guards against giving up innocent tasks: one that has run for seconds beside a task that takes
// its workers down did not cause the crash.
TEST(Crashes, TaskThatRanForSecondsIsNotSuspected)
{
    SCOPED_TRACE("given a task that has run for 8 s, and a task that has just started beside it");
    EngineFixture fixture(1);
    jobs::StepSpec lasting = step(1, 1000);
    lasting.longRunning = true;
    fixture.submit(submission(secondJob, lasting));
    runFor(fixture, fixture.startAll(), Milliseconds{8000});
    fixture.submit(submission(firstJob, step(1, 1000)));
    ASSERT_EQ(fixture.startAll().size(), 1U);
    {
        SCOPED_TRACE("when their worker crashes");
        crash(fixture, EngineFixture::incarnation("w1"));
        {
            SCOPED_TRACE("then only the second is suspected");
            EXPECT_EQ(taskOf(fixture, secondJob).crashes, 0);
            EXPECT_EQ(taskOf(fixture, firstJob).crashes, 1);
        }
    }
}

// Guards against giving up an innocent task that is lost with one worker after the other: a worker
// that has survived it for seconds speaks for it.
TEST(Crashes, SurvivedRunLowersTheSuspicion)
{
    EngineFixture fixture(2);
    jobs::StepSpec lasting = step(1, 1000);
    lasting.longRunning = true;
    fixture.submit(submission(secondJob, lasting));
    runFor(fixture, fixture.startAll(), Milliseconds{2000});
    taskOf(fixture, secondJob).suspicion = 400;
    fixture.submit(submission(firstJob, step(1, 3000)));
    const auto starts = fixture.start();
    ASSERT_EQ(starts.size(), 1U);
    fixture.answerStart(starts[0]);
    crash(fixture, workerOf(fixture, secondJob));
    EXPECT_LT(taskOf(fixture, secondJob).suspicion, 200);
}

// Guards against a suspicion that stays with an innocent task for good, so that a later crash of
// another cause ends it.
TEST(Crashes, TaskThatRunsForSecondsIsCleared)
{
    EngineFixture fixture(2);
    jobs::StepSpec lasting = step(1, 1000);
    lasting.longRunning = true;
    fixture.submit(submission(firstJob, lasting));
    ASSERT_EQ(fixture.startAll().size(), 1U);
    crash(fixture, workerOf(fixture));
    EXPECT_EQ(taskOf(fixture).crashes, 1);
    runFor(fixture, fixture.startAll(), Milliseconds{8000});
    EXPECT_EQ(taskOf(fixture).crashes, 0);
}

// Guards against innocent tasks that are given up with the one that takes its workers down: after
// a crash under several tasks, each must run apart from the others, so that the next crash tells
// them apart.
TEST(Crashes, SuspectsRunApart)
{
    SCOPED_TRACE("given two jobs on one worker, which crashes");
    EngineFixture fixture(3);
    fixture.submit(submission(firstJob, step(1, 1000)));
    fixture.submit(submission(secondJob, step(1, 1000)));
    ASSERT_EQ(fixture.startAll().size(), 2U);
    ASSERT_EQ(workerOf(fixture, firstJob), workerOf(fixture, secondJob));
    crash(fixture, workerOf(fixture));
    {
        SCOPED_TRACE("when they start again, together with a third job");
        const std::string thirdJob = "00000000000000c3";
        fixture.submit(submission(thirdJob, step(1, 1000)));
        ASSERT_EQ(fixture.startAll().size(), 3U);
        EXPECT_NE(workerOf(fixture, firstJob), workerOf(fixture, secondJob));
        EXPECT_NE(workerOf(fixture, thirdJob), workerOf(fixture, firstJob));
        EXPECT_NE(workerOf(fixture, thirdJob), workerOf(fixture, secondJob));
        {
            SCOPED_TRACE("then the next crash gives up only the task that caused it");
            crash(fixture, workerOf(fixture, firstJob));
            EXPECT_EQ(fixture.job(firstJob).state, jobs::JobState::Failed);
            EXPECT_FALSE(jobs::isFinal(fixture.job(secondJob).state));
            EXPECT_FALSE(jobs::isFinal(fixture.job(thirdJob).state));
        }
    }
}

// Guards against starving suspected tasks, or the tasks beside them, when there is one worker only.
TEST(Crashes, SuspectsShareAWorkerWhenNoOtherFits)
{
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    fixture.submit(submission(secondJob, step(1, 1000)));
    ASSERT_EQ(fixture.startAll().size(), 2U);
    crash(fixture, workerOf(fixture));
    std::size_t started = fixture.startAll().size();
    for (int i = 0; i < 40 && started < 2; ++i) {
        fixture.now += Milliseconds{100};
        started += fixture.startAll().size();
    }
    EXPECT_EQ(started, 2U);
}

// Guards against endless starts when two tasks never run apart: at the third crash both are likely
// enough to be the cause.
TEST(Crashes, ThirdCrashEndsALikelyCause)
{
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    fixture.submit(submission(secondJob, step(1, 1000)));
    for (int crashes = 0; crashes < 3; ++crashes) {
        EXPECT_FALSE(jobs::isFinal(fixture.job().state)) << "crashes: " << crashes;
        std::size_t started = fixture.startAll().size();
        for (int i = 0; i < 40 && started < 2; ++i) {
            fixture.now += Milliseconds{100};
            started += fixture.startAll().size();
        }
        ASSERT_EQ(started, 2U);
        crash(fixture, workerOf(fixture));
    }
    EXPECT_EQ(fixture.job(firstJob).state, jobs::JobState::Failed);
}

// Guards against a second copy that takes down a second worker at the same time.
TEST(Crashes, SuspectGetsNoCopy)
{
    SCOPED_TRACE("given two slow speculative tasks, and a job that waits for a larger worker");
    EngineFixture fixture(4);
    jobs::StepSpec copied = step(1, 1000);
    copied.speculative = true;
    fixture.submit(submission(firstJob, copied));
    ASSERT_EQ(fixture.startAll().size(), 1U);
    {
        SCOPED_TRACE("when the worker of one has crashed");
        crash(fixture, workerOf(fixture));
        fixture.submit(submission(secondJob, copied));
        fixture.submit(submission("00000000000000c3", step(1, 9000)));
        ASSERT_EQ(fixture.startAll().size(), 2U);
        fixture.now += Milliseconds{2000};
        {
            SCOPED_TRACE("then only the other gets a copy");
            const auto copies = fixture.startAll();
            ASSERT_EQ(copies.size(), 1U);
            EXPECT_EQ(copies[0].task.job, JobId(secondJob));
        }
    }
}

// Guards against blaming single tasks for a loss of power: workers of one rack that fall silent at
// once have a common cause.
TEST(Crashes, RackThatGoesDarkGivesNobodyUp)
{
    SCOPED_TRACE("given three workers of one rack, each with a suspected task, and another worker");
    EngineFixture fixture(4);
    for (const char *id : {"w1", "w2", "w3"}) {
        fixture.worker(id).entry.rack = RackId("dark");
    }
    const std::vector<std::string> ids{"00000000000000d1", "00000000000000d2", "00000000000000d3"};
    for (std::size_t i = 0; i < ids.size(); ++i) {
        jobs::StepSpec wide = step(1, 4000);
        fixture.submit(submission(ids[i], wide));
    }
    const std::string filler = "00000000000000d4";
    fixture.submit(submission(filler, step(1, 4000)));
    ASSERT_EQ(fixture.startAll().size(), 4U);
    for (const std::string &id : {ids[0], ids[1], ids[2], filler}) {
        taskOf(fixture, id).crashes = 1;
    }
    {
        SCOPED_TRACE("when the three fall silent together and restart");
        fixture.poll();
        for (const char *id : {"w1", "w2", "w3"}) {
            fixture.leavePollUnanswered(id);
        }
        for (const char *id : {"w1", "w2", "w3"}) {
            crash(fixture, EngineFixture::incarnation(id));
        }
        {
            SCOPED_TRACE("then no job has failed");
            for (const std::string &id : {ids[0], ids[1], ids[2], filler}) {
                EXPECT_FALSE(jobs::isFinal(fixture.job(id).state)) << id;
            }
        }
    }
}

// Guards against taking workers whose rack is not known for workers of one rack: a task that takes
// its second worker down would then go on.
TEST(Crashes, WorkersWithoutRackHaveNoCommonCause)
{
    SCOPED_TRACE("given three workers without a rack, and a suspected task on one");
    EngineFixture fixture(3);
    for (const char *id : {"w1", "w2", "w3"}) {
        fixture.worker(id).entry.rack = RackId();
    }
    fixture.submit(submission(firstJob, step(1, 1000)));
    ASSERT_EQ(fixture.startAll().size(), 1U);
    taskOf(fixture).crashes = 1;
    {
        SCOPED_TRACE("when all fall silent and its worker turns out to have restarted");
        for (const char *id : {"w1", "w2", "w3"}) {
            recordSilence(fixture.engine, fixture.worker(id), fixture.now);
        }
        crash(fixture, workerOf(fixture));
        {
            SCOPED_TRACE("then the job has failed");
            EXPECT_EQ(fixture.job().state, jobs::JobState::Failed);
        }
    }
}

// A lasting job of five tasks on as many workers, of which one may be missing.
jobs::Submission servingJob()
{
    jobs::StepSpec lasting = step(5, 1000);
    lasting.longRunning = true;
    lasting.antiAffinity = 1;
    lasting.mayMiss = 1;
    return submission(firstJob, lasting);
}

// Responds to each poll in flight at once, as workers on which these runs are at work.
void answerAtWork(EngineFixture &fixture, const std::vector<StartCommand> &runs)
{
    for (const PollCommand &poll : fixture.poll()) {
        std::vector<RunningReport> running;
        for (const StartCommand &run : runs) {
            if (run.target.worker == poll.target.worker) {
                running.push_back({run.task, run.run, "", 100, 0});
            }
        }
        answerAs(fixture, poll.target.worker, running);
    }
}

// Guards against a lasting job that is given up because two workers crash under one of its tasks
// (review/4): a worker that has survived the start of a run for a while did not crash because of
// it.
TEST(Crashes, SurvivedStartsDoNotCount)
{
    SCOPED_TRACE("given a lasting job");
    EngineFixture fixture(8);
    fixture.submit(servingJob());
    std::vector<StartCommand> runs = fixture.startAll();
    ASSERT_EQ(runs.size(), 5U);
    for (int crashes = 0; crashes < 4; ++crashes) {
        SCOPED_TRACE("when the worker of its first task crashes a quarter of a second after the "
                     "start, and was alive until then");
        fixture.now += Milliseconds{200};
        answerAtWork(fixture, runs);
        fixture.poll();
        fixture.now += Milliseconds{50};
        const WorkerIncarnation crashed = workerOf(fixture);
        handlePollResponse(fixture.engine, crashed, fixture.engine.workers.at(crashed).pollNumber,
                           {}, fixture.now);
        crash(fixture, crashed);
        {
            SCOPED_TRACE("then nothing is held against the job, and its task starts again");
            EXPECT_EQ(taskOf(fixture).crashes, 0);
            EXPECT_FALSE(jobs::isFinal(fixture.job().state));
            EXPECT_TRUE(fixture.take<StopCommand>().empty());
            const auto again = fixture.startAll();
            ASSERT_EQ(again.size(), 1U);
            runs.push_back(again[0]);
        }
    }
}

// Guards against sound work that is stopped with a task that takes its workers down.
TEST(Crashes, GivenUpTaskLeavesTheOthersAtWork)
{
    SCOPED_TRACE("given a lasting job at work, but for a task whose workers crash at its start");
    EngineFixture fixture(8);
    fixture.submit(servingJob());
    std::vector<StartCommand> runs = fixture.startAll();
    ASSERT_EQ(runs.size(), 5U);
    crash(fixture, workerOf(fixture));
    ASSERT_EQ(fixture.startAll().size(), 1U);
    crash(fixture, workerOf(fixture));
    {
        SCOPED_TRACE("then that task is given up alone");
        EXPECT_FALSE(jobs::isFinal(fixture.job().state));
        EXPECT_TRUE(taskOf(fixture).isGivenUp);
        EXPECT_TRUE(fixture.take<StopCommand>().empty());
        EXPECT_TRUE(fixture.startAll().empty());
        for (std::size_t index = 1; index < 5; ++index) {
            EXPECT_EQ(taskOf(fixture, firstJob, index).attempts.size(), 1U);
        }
    }
    {
        SCOPED_TRACE("and a new owner does not start it either");
        EngineFixture after(8);
        after.submit(servingJob());
        ASSERT_TRUE(adoptProgress(after.engine, JobId(firstJob),
                                  jobs::encodeProgress(fixture.job()), after.now, after.now));
        EXPECT_TRUE(after.start().empty());
    }
    {
        SCOPED_TRACE("and the job fails once nothing of it serves any more");
        for (std::size_t index = 1; index < 5; ++index) {
            // The first crash comes long after the start, and does not count.
            for (int crashes = 0; crashes < 3; ++crashes) {
                ASSERT_FALSE(jobs::isFinal(fixture.job().state));
                crash(fixture, workerOf(fixture, firstJob, index));
                fixture.startAll();
            }
        }
        EXPECT_EQ(fixture.job().state, jobs::JobState::Failed);
    }
}

// Guards against an innocent task that is taken for the cause of a second crash because nothing was
// heard of its worker between its start and the crash.
TEST(Crashes, SuspectIsPolledUntilItsWorkerHasSurvivedIt)
{
    EngineFixture fixture(8);
    fixture.submit(servingJob());
    ASSERT_EQ(fixture.startAll().size(), 5U);
    crash(fixture, workerOf(fixture));
    std::vector<StartCommand> runs = fixture.startAll();
    ASSERT_EQ(runs.size(), 1U);
    const auto longestWait = [&] {
        Milliseconds longest{0};
        for (const PollCommand &poll : fixture.poll()) {
            if (poll.target.worker == runs[0].target.worker) {
                longest = std::max(longest, poll.wait);
                answerAs(fixture, poll.target.worker, {runningOf(runs[0])});
            }
        }
        return longest;
    };
    EXPECT_LE(longestWait(), Milliseconds{50});
    fixture.now += Milliseconds{50};
    EXPECT_LE(longestWait(), Milliseconds{50});
    fixture.now += Milliseconds{200};
    longestWait();
    EXPECT_EQ(taskOf(fixture).crashes, 0);
    fixture.now += Milliseconds{50};
    EXPECT_GT(longestWait(), Milliseconds{50});
}

// Guards against a task that takes its workers down and is taken for proven: the response to its
// start may be delayed, so that the last reading of the worker's clock is from long before.
TEST(Crashes, SurvivalCountsFromTheStart)
{
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    const auto starts = fixture.start();
    ASSERT_EQ(starts.size(), 1U);
    fixture.now += Milliseconds{1000};
    const std::int64_t startedClockMs = fixture.workerClockMs();
    fixture.now += Milliseconds{100};
    handleStartResult(fixture.engine, {starts[0].task, starts[0].run}, starts[0].target.worker,
                      StartResult::Started, startedClockMs, fixture.now);
    EXPECT_EQ(taskOf(fixture).attempts.at(0).confirmedClockMs, startedClockMs);
}

}  // namespace
}  // namespace poplarstream::engine
