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

// Guards against a task that runs twice: a start command without a response may still take effect.
TEST(Reachability, UnansweredStart)
{
    SCOPED_TRACE("given a start without a response, and a poll that was sent before it");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    const auto starts = fixture.start();
    fixture.poll();
    const std::int64_t before = fixture.worker("w1").pollNumber;
    const std::int64_t token = starts.at(0).target.fencingToken;
    fixture.answerStart(starts.at(0), StartResult::Unknown);
    {
        SCOPED_TRACE("when the response to that poll lacks the run");
        PollResponse empty;
        empty.clockMs = 6000;
        handlePollResponse(fixture.engine, EngineFixture::incarnation("w1"), before, empty,
                           fixture.now);
        EXPECT_TRUE(fixture.start().empty()) << "the command may still be in flight";
        {
            SCOPED_TRACE("then a poll with a higher token that finds no run releases the task");
            const auto polls = fixture.poll();
            ASSERT_EQ(polls.size(), 1U);
            EXPECT_GT(polls[0].target.fencingToken, token);
            EXPECT_EQ(polls[0].wait, Milliseconds{0});
            fixture.answer("w1");
            const auto again = fixture.start();
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again[0].run, 2);
        }
    }
}

// Guards against releasing a running task: a start command sent while the decisive poll of another
// task is in flight may arrive after the worker's response, which then lacks its run.
TEST(Reachability, TaskStartedDuringDecisivePollIsKept)
{
    SCOPED_TRACE(
            "given a start without a response, and another task that is planned but not yet sent");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    const auto first = fixture.start();
    ASSERT_EQ(first.size(), 1U);
    fixture.poll();
    const std::int64_t before = fixture.worker("w1").pollNumber;
    fixture.submit(submission(secondJob, step(1, 1000)));
    planStarts(fixture.engine, fixture.now);
    const Batch batch = collectBatch(fixture.engine);
    fixture.answerStart(first.at(0), StartResult::Unknown);
    {
        SCOPED_TRACE("when the response to an older poll makes the worker reachable and the start "
                     "is sent");
        PollResponse empty;
        empty.clockMs = 6000;
        handlePollResponse(fixture.engine, EngineFixture::incarnation("w1"), before, empty,
                           fixture.now);
        ASSERT_EQ(fixture.poll().size(), 1U);
        applyStored(fixture.engine, batch, fixture.now);
        ASSERT_EQ(fixture.take<StartCommand>().size(), 1U);
        {
            SCOPED_TRACE("then the decisive poll releases the first task and keeps the second");
            fixture.answer("w1");
            const auto again = fixture.start();
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again[0].task.job, JobId(firstJob));
            EXPECT_EQ(fixture.job(secondJob).occurrences.at(0).steps[0][0].attempts.size(), 1U);
        }
    }
}

// Guards against a second run while the first may still hold its lease on a partitioned worker.
TEST(Reachability, UnresponsiveWorkerKeepsTasksUntilLeaseExpires)
{
    SCOPED_TRACE("given a task on a worker that stops responding");
    EngineFixture fixture;
    fixture.submit(submission(firstJob, step(1, 1000)));
    const auto starts = fixture.startAll();
    const std::string id = starts.at(0).target.worker.id.text();
    fixture.poll();
    fixture.leavePollUnanswered(id);
    const TimePoint renewedAt = fixture.now;
    {
        SCOPED_TRACE("when polls get no response until the lease must have expired");
        while (fixture.now < renewedAt + fixture.engine.limits.lease) {
            fixture.now += Milliseconds{300};
            for (const PollCommand &poll : fixture.poll()) {
                EXPECT_FALSE(poll.leaseUntilClockMs)
                        << "an unresponsive worker's lease must not be renewed";
                fixture.leavePollUnanswered(id);
            }
            EXPECT_TRUE(fixture.start().empty());
        }
        {
            SCOPED_TRACE("then the task starts on the other worker");
            fixture.now += Milliseconds{1000};
            fixture.poll();
            const auto again = fixture.start();
            ASSERT_EQ(again.size(), 1U);
            EXPECT_NE(again[0].target.worker.id.text(), id);
        }
    }
}

// Guards against more attempts than the queue allows: a worker whose lease was taken for expired
// reports that the task had failed before, and the number of that end is acknowledged.
TEST(Reachability, LateFailureOfReleasedTask)
{
    SCOPED_TRACE("given a task that was released because its worker did not respond");
    EngineFixture fixture;
    fixture.submit(submission(firstJob, step(1, 1000)));
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    const std::string id = starts[0].target.worker.id.text();
    fixture.poll();
    fixture.leavePollUnanswered(id);
    fixture.now += fixture.engine.limits.lease * 2;
    fixture.poll();
    ASSERT_EQ(fixture.startAll().size(), 1U);
    {
        SCOPED_TRACE("when it responds with the failed run");
        const std::string released = jobs::encodeProgress(fixture.job());
        fixture.answer(id, {}, {{1, starts[0].task, 1, jobs::AttemptResult::Failed, ""}});
        {
            SCOPED_TRACE("then the failure counts once, also for a later owner");
            EXPECT_EQ(fixture.job().occurrences.at(0).steps[0][0].failures, 1);
            const std::string counted = jobs::encodeProgress(fixture.job());
            for (const std::string &stored : {released, counted}) {
                EngineFixture next(2);
                next.submit(submission(firstJob, step(1, 1000)));
                ASSERT_TRUE(
                        adoptProgress(next.engine, JobId(firstJob), stored, next.now, next.now));
                next.poll();
                next.answer(id, {}, {{1, starts[0].task, 1, jobs::AttemptResult::Failed, ""}});
                EXPECT_EQ(next.job().occurrences.at(0).steps[0][0].failures, 1);
            }
        }
    }
}

// Guards against work that is done twice: a worker whose lease was taken for expired reports that
// the task had succeeded before.
TEST(Reachability, LateSuccessOfReleasedTask)
{
    SCOPED_TRACE("given a task that was released because its worker did not respond");
    EngineFixture fixture;
    fixture.submit(submission(firstJob, step(2, 1000)));
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 2U);
    const std::string id = starts[0].target.worker.id.text();
    ASSERT_EQ(starts[1].target.worker.id.text(), id);
    fixture.poll();
    fixture.leavePollUnanswered(id);
    fixture.now += fixture.engine.limits.lease * 2;
    fixture.poll();
    planStarts(fixture.engine, fixture.now);
    const Batch replacements = collectBatch(fixture.engine);
    ASSERT_EQ(replacements.starts.size(), 2U);
    {
        SCOPED_TRACE("when it responds before the replacement has started");
        fixture.answer(id, {}, {{1, starts[0].task, 1, jobs::AttemptResult::Done, ""}});
        applyStored(fixture.engine, replacements, fixture.now);
        const auto restarted = fixture.take<StartCommand>();
        ASSERT_EQ(restarted.size(), 1U) << "only the task that has not succeeded starts again";
        EXPECT_EQ(restarted[0].task, starts[1].task);
    }
    {
        SCOPED_TRACE("then a success after the replacement has started stops the replacement and "
                     "completes the job");
        fixture.poll();
        fixture.answer(id, {}, {{2, starts[1].task, 1, jobs::AttemptResult::Done, ""}});
        const auto stops = fixture.take<StopCommand>();
        ASSERT_EQ(stops.size(), 1U);
        EXPECT_EQ(stops[0].run, 2);
        EXPECT_EQ(fixture.job().state, jobs::JobState::Completed);
    }
    {
        SCOPED_TRACE("and a run that was never started is ignored");
        EngineFixture other(1);
        other.submit(submission(firstJob, step(1, 1000)));
        other.startAll();
        other.poll();
        other.answer("w1", {running(0, 1)},
                     {{1, EngineFixture::ref().task, 2, jobs::AttemptResult::Done, ""}});
        EXPECT_EQ(other.job().state, jobs::JobState::Running);
    }
}

// Guards against waiting for a lease on a worker that has restarted under the same id.
TEST(Reachability, NewIncarnationReleasesTasksAtOnce)
{
    SCOPED_TRACE("given a task on a worker");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    fixture.startAll();
    {
        SCOPED_TRACE("when the registry lists a new incarnation of the same id");
        fixture.addWorker("w1", 2);
        pollWorkers(fixture.engine, fixture.now);
        for (const PollCommand &poll : fixture.take<PollCommand>()) {
            PollResponse response;
            response.clockMs = 10;
            handlePollResponse(fixture.engine, poll.target.worker, poll.number, response,
                               fixture.now);
        }
        {
            SCOPED_TRACE("then the task restarts there with a higher run number");
            const auto again = fixture.start();
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again[0].target.worker, EngineFixture::incarnation("w1", 2));
            EXPECT_EQ(again[0].run, 2);
        }
    }
}

// Guards against a second run beside the first after a worker has restarted under the same id: its
// new incarnation may have carried out a start command that was meant for the previous one.
TEST(Reachability, StartCarriedOutByNewIncarnation)
{
    SCOPED_TRACE("given a start that was confirmed by the address of a worker");
    EngineFixture fixture(2);
    fixture.submit(submission(firstJob, step(1, 1000)));
    const auto starts = fixture.startAll();
    const std::string id = starts.at(0).target.worker.id.text();
    {
        SCOPED_TRACE("when the registry lists a new incarnation of its id");
        fixture.addWorker(id, 2);
        EXPECT_TRUE(fixture.start().empty()) << "the new incarnation may run the task";
    }
    {
        SCOPED_TRACE("then the task starts elsewhere once the new incarnation has been polled");
        pollWorkers(fixture.engine, fixture.now);
        handlePollResponse(fixture.engine, EngineFixture::incarnation(id, 2), 1,
                           PollResponse{2, 10, {}, {}, false}, fixture.now);
        EXPECT_EQ(fixture.start().size(), 1U);
    }
}

// Guards against a lease that outlives the owner's estimate of it: the clock of a worker that has
// had no work for a minute may be 1.2 s behind the extrapolation of its last reading.
TEST(Reachability, LeaseAfterIdleMinuteOnSlowClock)
{
    SCOPED_TRACE("given a worker with a clock that is 2% slow and was last read a minute ago");
    EngineFixture fixture(1);
    const TimePoint readAt = fixture.now;
    const auto clockAt = [&](TimePoint time) { return 6000 + (time - readAt).count() * 98 / 100; };
    fixture.now += Milliseconds{60'000};
    fixture.submit(submission(firstJob, step(1, 1000)));
    auto starts = fixture.start();
    if (starts.empty()) {  // the owner reads the clock first
        ASSERT_EQ(fixture.poll().size(), 1U);
        handlePollResponse(fixture.engine, EngineFixture::incarnation("w1"),
                           fixture.worker("w1").pollNumber,
                           PollResponse{1, clockAt(fixture.now), {}, {}, false}, fixture.now);
        starts = fixture.start();
    }
    ASSERT_EQ(starts.size(), 1U);
    {
        SCOPED_TRACE("then the lease of a task is over when the owner takes it for expired");
        EXPECT_LE(starts[0].leaseUntilClockMs, clockAt(fixture.worker("w1").leaseUntil));
    }
}

// Guards against a task that runs twice: by a clock that is too high, from an entry of another
// writer, a worker would hold a task for longer than the owner waits.
TEST(Reachability, ClockOfAnEntryIsNoLaterThanItCanBe)
{
    SCOPED_TRACE("given a worker that has answered, and whose entry was wrong from the first");
    EngineFixture fixture(0);
    fixture.addWorker("w1");
    Worker &worker = fixture.worker("w1");
    WorkerEntry entry = worker.entry;
    constexpr std::int64_t hourMs = 3'600'000;
    entry.clockMs = hourMs;
    registerWorker(fixture.engine, entry, fixture.now);
    fixture.poll();
    fixture.answerPolls();
    EXPECT_EQ(worker.clockMs, fixture.workerClockMs());
    fixture.submit(submission(firstJob, step(1, 1000)));
    ASSERT_EQ(fixture.startAll().size(), 1U);
    {
        SCOPED_TRACE("when an entry gives a clock that is an hour ahead");
        fixture.now += Milliseconds{500};
        entry.clockMs = fixture.workerClockMs() + hourMs;
        registerWorker(fixture.engine, entry, fixture.now);
        {
            SCOPED_TRACE("then the lease is over when the owner takes it for expired");
            const auto polls = fixture.poll();
            ASSERT_EQ(polls.size(), 1U);
            ASSERT_TRUE(polls[0].leaseUntilClockMs);
            EXPECT_LE(*polls[0].leaseUntilClockMs,
                      fixture.workerClockMs() + (worker.leaseUntil - fixture.now).count());
        }
    }
    {
        SCOPED_TRACE("then a clock that can be right is used, as of a worker without work");
        fixture.now += Milliseconds{60'000};
        entry.clockMs = fixture.workerClockMs();
        registerWorker(fixture.engine, entry, fixture.now);
        EXPECT_EQ(worker.clockMs, fixture.workerClockMs());
    }
}

// Guards against losing the end of a run: a worker that has restarted under the same id numbers its
// ends anew, and a poll for its previous incarnation acknowledges some that were never read.
TEST(Reachability, FirstPollAfterIdleTimeAcknowledgesNothing)
{
    SCOPED_TRACE("given a worker that has had no work for 10 s since its first run was done");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    fixture.startAll();
    fixture.poll();
    fixture.answer("w1", {}, {{1, EngineFixture::ref().task, 1, jobs::AttemptResult::Done, ""}});
    fixture.store();
    fixture.now += Milliseconds{10'000};
    fixture.submit(submission(secondJob, step(1, 1000)));
    ASSERT_EQ(fixture.startAll().size(), 1U);
    const TaskRef second = EngineFixture::ref(0, 1, secondJob).task;
    {
        SCOPED_TRACE("when it is polled after the next start");
        const auto polls = fixture.poll();
        ASSERT_EQ(polls.size(), 1U);
        EXPECT_EQ(polls[0].acknowledged, 0) << "the incarnation that has started it is unknown";
        handlePollResponse(fixture.engine, EngineFixture::incarnation("w1"), polls[0].number,
                           PollResponse{1, 16'000, {{second, 1, "", 10, 0}}, {}, false},
                           fixture.now);
    }
    {
        SCOPED_TRACE("then the end is acknowledged once the response shows the same incarnation");
        fixture.now += Milliseconds{600};
        const auto polls = fixture.poll();
        ASSERT_EQ(polls.size(), 1U);
        EXPECT_EQ(polls[0].acknowledged, 1);
    }
}

// Guards against a poll for the previous incarnation of an id that the next one takes for its own,
// and against a second run beside the first: a poll may be the first to show the restart.
TEST(Reachability, RestartSeenByAPollIsSettledByTheNextPoll)
{
    SCOPED_TRACE("given a start on a worker");
    EngineFixture fixture(2);
    fixture.submit(submission(firstJob, step(1, 1000)));
    const auto starts = fixture.startAll();
    const std::string id = starts.at(0).target.worker.id.text();
    const auto first = fixture.poll();
    ASSERT_EQ(first.size(), 1U);
    {
        SCOPED_TRACE("when a response shows another incarnation");
        handlePollResponse(fixture.engine, EngineFixture::incarnation(id), first[0].number,
                           PollResponse{2, 10, {}, {}, false}, fixture.now);
        EXPECT_TRUE(fixture.start().empty()) << "the new incarnation may run the task";
        const auto second = fixture.poll();
        ASSERT_EQ(second.size(), 1U);
        EXPECT_EQ(second[0].target.worker, EngineFixture::incarnation(id, 2));
        EXPECT_GT(second[0].target.fencingToken, first[0].target.fencingToken);
        {
            SCOPED_TRACE("then its answer settles the task");
            EXPECT_TRUE(fixture.start().empty());
            handlePollResponse(fixture.engine, second[0].target.worker, second[0].number,
                               PollResponse{2, 20, {}, {}, false}, fixture.now);
            EXPECT_EQ(fixture.start().size(), 1U);
        }
    }
}

// Guards against a worker that is never polled again, and a task that is never settled, after an
// entry of another writer gave a later start of a living worker: its own response shows the true
// one.
TEST(Reachability, FalseRestartInTheRegistryIsTakenBack)
{
    SCOPED_TRACE("given a task on a worker, and a poll on its way");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    ASSERT_EQ(fixture.poll().size(), 1U);
    {
        SCOPED_TRACE("when the registry gives a later start, and a response the true one");
        fixture.addWorker("w1", 2);
        const auto second = fixture.poll();
        ASSERT_EQ(second.size(), 1U);
        EXPECT_EQ(second[0].target.worker, EngineFixture::incarnation("w1", 2));
        handlePollResponse(fixture.engine, second[0].target.worker, second[0].number,
                           PollResponse{1, fixture.workerClockMs(), {running(0, 1)}, {}, false},
                           fixture.now);
        {
            SCOPED_TRACE("then the worker is polled, and its task goes on as the same run");
            const auto third = fixture.poll();
            ASSERT_EQ(third.size(), 1U);
            EXPECT_EQ(third[0].target.worker, EngineFixture::incarnation("w1"));
            EXPECT_GT(third[0].target.fencingToken, second[0].target.fencingToken);
            fixture.answer("w1", {running(0, 1)});
            fixture.now += Milliseconds{10'000};
            EXPECT_TRUE(fixture.start().empty());
            const auto &attempts = fixture.job().occurrences.at(0).steps[0][0].attempts;
            ASSERT_EQ(attempts.size(), 1U);
            EXPECT_EQ(attempts[0].run, 1);
            EXPECT_EQ(attempts[0].worker, EngineFixture::incarnation("w1"));
        }
        {
            SCOPED_TRACE("and it gets further tasks once its own entry is read");
            fixture.addWorker("w1");
            fixture.submit(submission(secondJob, step(1, 1000)));
            EXPECT_EQ(fixture.start().size(), 1U);
        }
    }
}

// Guards against a run that is never stopped, and a task that is never started again, after an
// owner could not send its commands for a while.
TEST(Reachability, DroppedCommandsAreSettled)
{
    SCOPED_TRACE("given a running task and a start that was not sent yet");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    fixture.startAll();
    fixture.submit(submission(secondJob, step(1, 1000)));
    planStarts(fixture.engine, fixture.now);
    fixture.store();
    {
        SCOPED_TRACE("when the start and a stop are dropped");
        stopAttempt(fixture.engine, EngineFixture::ref(), fixture.now);
        dropCommands(fixture.engine, fixture.now);
        ASSERT_EQ(fixture.poll().size(), 1U);
        fixture.answer("w1", {running(0, 1)});
        {
            SCOPED_TRACE("then the stop is sent again and the task starts again");
            EXPECT_EQ(fixture.take<StopCommand>().size(), 1U);
            const auto again = fixture.start();
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again[0].task.job, JobId(secondJob));
        }
    }
}

// Guards against a living worker that is never used again: it was taken for ended while a poll was
// on its way, and its next report comes after the response.
TEST(Reachability, WorkerTakenForEndedDuringAPollIsUsedAgain)
{
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    fixture.startAll();
    fixture.poll();
    endIncarnation(fixture.engine, EngineFixture::incarnation("w1"), EndEvidence::MachineAbsent,
                   fixture.now);
    fixture.answer("w1");
    {
        SCOPED_TRACE("when the registry lists it again");
        fixture.now += Milliseconds{1500};
        fixture.poll();
        fixture.addWorker("w1");
        fixture.poll();
        fixture.answerPolls();
        {
            SCOPED_TRACE("then it gets tasks");
            EXPECT_FALSE(fixture.worker("w1").isGone);
            EXPECT_EQ(fixture.start().size(), 1U);
        }
    }
}

// Guards against replacing an incarnation by an older one when a registry entry is read late.
TEST(Reachability, OutdatedEntryIsIgnored)
{
    EngineFixture fixture(1);
    fixture.addWorker("w1", 2);
    fixture.addWorker("w1", 1);
    EXPECT_EQ(fixture.engine.newestIncarnations.at(WorkerId("w1")).startedUnixMs, 2);
}

// A worker that runs one task, and restarts with an earlier start since its clock was set back.
struct SetBackRestart
{
    static constexpr std::int64_t firstStart = 1000;
    static constexpr std::int64_t secondStart = 500;

    EngineFixture fixture{0};
    std::vector<StartCommand> starts;

    SetBackRestart()
    {
        fixture.addWorker("w1", firstStart);
        answerPolls(true);
        fixture.submit(submission(firstJob, step(1, 1000)));
        starts = fixture.startAll();
        fixture.poll();
    }

    // Responds to the polls that are due, for a worker that lives at both addresses or at its new
    // one only.
    void answerPolls(bool isAtFirstAddress)
    {
        for (const PollCommand &poll : fixture.poll()) {
            respond(poll, isAtFirstAddress);
        }
    }

    void respond(const PollCommand &poll, bool isAtFirstAddress)
    {
        const WorkerIncarnation &target = poll.target.worker;
        const bool isSecond = target.startedUnixMs == secondStart;
        if (!hasRestarted || isSecond) {
            PollResponse response;
            response.clockMs = fixture.workerClockMs();
            response.startedUnixMs = target.startedUnixMs;
            handlePollResponse(fixture.engine, target, poll.number, response, fixture.now);
        } else if (isAtFirstAddress) {
            handleMisdirectedPoll(fixture.engine, poll, fixture.now);
        } else {
            handlePollResponse(fixture.engine, target, poll.number, {}, fixture.now);
        }
    }

    // The time until the task starts again, at most a minute.
    Milliseconds timeUntilNextStart(bool isAtFirstAddress)
    {
        hasRestarted = true;
        WorkerEntry entry = fixture.engine.workers.at({WorkerId("w1"), firstStart}).entry;
        entry.incarnation.startedUnixMs = secondStart;
        entry.address = isAtFirstAddress ? entry.address : "10.0.0.1:81";
        const TimePoint begin = fixture.now;
        for (const PollCommand &poll : fixture.polls) {
            respond(poll, isAtFirstAddress);
        }
        while (fixture.now - begin < Milliseconds{60'000}) {
            entry.clockMs = fixture.workerClockMs();
            registerWorker(fixture.engine, entry, fixture.now);
            for (int i = 0; i < 10; ++i) {
                fixture.now += Milliseconds{100};
                answerPolls(isAtFirstAddress);
                const std::vector<StartCommand> next = fixture.startAll();
                if (!next.empty()) {
                    starts.insert(starts.end(), next.begin(), next.end());
                    return fixture.now - begin;
                }
            }
        }
        return Milliseconds::max();
    }

    bool hasRestarted = false;
};

// Guards against a worker that gets no tasks, and a task that is lost or doubled, because the
// worker restarted after its clock was set back and its entries seem older than it.
TEST(Reachability, RestartAfterClockWasSetBackIsUsedAgain)
{
    for (const bool isAtFirstAddress : {true, false}) {
        SCOPED_TRACE(isAtFirstAddress ? "given that its address is the same"
                                      : "given that its address is another");
        SetBackRestart restart;
        ASSERT_EQ(restart.starts.size(), 1U);
        const Milliseconds waited = restart.timeUntilNextStart(isAtFirstAddress);
        {
            SCOPED_TRACE("then its task starts again within 10 s, on the worker that lives");
            EXPECT_LE(waited, Milliseconds{10'000});
            ASSERT_EQ(restart.starts.size(), 2U);
            EXPECT_EQ(restart.starts[1].target.worker.startedUnixMs, SetBackRestart::secondStart);
            EXPECT_EQ(restart.starts[1].run, 2);
        }
        if (!isAtFirstAddress) {
            SCOPED_TRACE("but not before its lease has expired, as nothing shows that it ended");
            EXPECT_GE(waited, restart.fixture.engine.limits.lease);
        }
    }
}

// Guards against overloading a worker that still runs something the owner doesn't know.
TEST(Reachability, UnexpectedAttemptsAreStoppedFirst)
{
    SCOPED_TRACE("given a worker that runs an unexpected attempt");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    fixture.worker("w1").reachability = Reachability::Unconfirmed;
    fixture.poll();
    fixture.answer("w1", {running(7, 3)});
    EXPECT_FALSE(fixture.take<StopCommand>().empty());
    EXPECT_TRUE(fixture.start().empty());
    {
        SCOPED_TRACE("then it gets work once that attempt is gone");
        fixture.now += Milliseconds{100};
        fixture.poll();
        fixture.answer("w1");
        EXPECT_EQ(fixture.start().size(), 1U);
    }
}

// Guards against duplicate and lost runs after a change of owner.
TEST(Reachability, TakeoverWaitsForWorkerResponses)
{
    SCOPED_TRACE(
            "given the progress stored by a previous owner: two started tasks, of which one runs");
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
    after.addWorker("w1");
    after.addWorker("w2");
    after.addWorker("w3");
    after.poll();
    after.answer("w3");
    EXPECT_TRUE(after.start().empty()) << "both may still run";
    {
        SCOPED_TRACE("when one worker reports its run and the other doesn't");
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

// Guards against stopping a task for an evacuation while another one of its step is on an
// unresponsive worker and may be lost.
TEST(Reachability, EvacuationCountsTasksOnUnresponsiveWorkers)
{
    SCOPED_TRACE("given a long-running step with two ready tasks, and a third worker with free "
                 "capacity");
    EngineFixture fixture(3);
    jobs::StepSpec serving = step(2, 1000);
    serving.longRunning = true;
    serving.antiAffinity = 1;
    serving.mayMiss = 1;
    fixture.submit(submission(firstJob, serving));
    const auto starts = fixture.startAll();
    const std::string first = starts.at(0).target.worker.id.text();
    const std::string second = starts.at(1).target.worker.id.text();
    fixture.poll();
    fixture.answer(first, {running(starts[0].task.index, 1, 100)});
    fixture.answer(second, {running(starts[1].task.index, 1, 100)});
    fixture.worker(first).isCordoned = true;
    {
        SCOPED_TRACE("when the other worker has stopped responding");
        fixture.now += Milliseconds{100};
        fixture.poll();
        fixture.leavePollUnanswered(second);
        evacuate(fixture.engine, fixture.now);
        EXPECT_TRUE(fixture.take<StopCommand>().empty());
        ASSERT_TRUE(fixture.worker(first).heldBy);
        EXPECT_EQ(fixture.worker(first).heldBy->missing, 1);
        EXPECT_TRUE(fixture.worker(first).heldBy->hasCandidate);
    }
    {
        SCOPED_TRACE("then the task moves only after the other is ready again");
        fixture.now += Milliseconds{400};
        fixture.poll();
        fixture.answer(second, {running(starts[1].task.index, 1, 100)});
        evacuate(fixture.engine, fixture.now);
        EXPECT_EQ(fixture.take<StopCommand>().size(), 1U);
        EXPECT_FALSE(fixture.worker(first).heldBy);
    }
}

// Guards against an evacuation that stalls without telling operators the reason.
TEST(Reachability, EvacuationReportsMissingCapacity)
{
    EngineFixture fixture(1);
    jobs::StepSpec serving = step(1, 1000);
    serving.longRunning = true;
    fixture.submit(submission(firstJob, serving));
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    const std::string only = starts[0].target.worker.id.text();
    fixture.poll();
    fixture.answer(only, {running(starts[0].task.index, 1, 100)});
    fixture.worker(only).isCordoned = true;
    evacuate(fixture.engine, fixture.now);
    EXPECT_TRUE(fixture.take<StopCommand>().empty());
    ASSERT_TRUE(fixture.worker(only).heldBy);
    EXPECT_FALSE(fixture.worker(only).heldBy->hasCandidate);
}

// Guards against a step that misses two tasks at once: one stopped by the previous owner's last
// command and one by the new owner's first.
TEST(Reachability, NewOwnerWaitsForStopsOfPreviousOwner)
{
    SCOPED_TRACE("given a long-running step whose two tasks are both reported as ready after a "
                 "takeover");
    EngineFixture before(3);
    jobs::StepSpec serving = step(2, 1000);
    serving.longRunning = true;
    serving.antiAffinity = 1;
    serving.mayMiss = 1;
    before.submit(submission(firstJob, serving));
    const auto starts = before.startAll();
    const std::string first = starts.at(0).target.worker.id.text();
    const std::string second = starts.at(1).target.worker.id.text();
    const std::string stored = jobs::encodeProgress(before.job());
    EngineFixture fixture(3);
    fixture.submit(submission(firstJob, serving));
    ASSERT_TRUE(adoptProgress(fixture.engine, JobId(firstJob), stored, fixture.now, fixture.now));
    fixture.now += Milliseconds{50};
    fixture.worker(first).firstAnsweredAt = {};
    fixture.worker(second).firstAnsweredAt = {};
    const auto report = [&] {
        fixture.poll();
        fixture.answer(first, {running(starts[0].task.index, 1, 100)});
        fixture.answer(second, {running(starts[1].task.index, 1, 100)});
        fixture.worker(first).isCordoned = true;
        evacuate(fixture.engine, fixture.now);
        return fixture.take<StopCommand>().size();
    };
    {
        SCOPED_TRACE("when a stop by the previous owner may still take effect");
        EXPECT_EQ(report(), 0U);
        fixture.now += fixture.engine.limits.stopTimeout - Milliseconds{10};
        EXPECT_EQ(report(), 0U);
    }
    {
        SCOPED_TRACE("then the task moves once such a stop would have taken effect");
        fixture.now += Milliseconds{10};
        EXPECT_EQ(report(), 1U);
    }
}

// Guards against evacuations that wait longer than needed for a starting task: a poll that waits
// for a completion reports its progress late.
TEST(Reachability, StartingTasksArePolledOften)
{
    SCOPED_TRACE("given a long-running task that has just started");
    EngineFixture fixture(1);
    jobs::StepSpec serving = step(1, 1000);
    serving.longRunning = true;
    fixture.submit(submission(firstJob, serving));
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_LE(fixture.poll().at(0).wait, Milliseconds{300});
    {
        SCOPED_TRACE("then polls wait for a completion once it is ready");
        fixture.answer("w1", {{EngineFixture::ref().task, 1, "", 40, 0}});
        EXPECT_LE(fixture.poll().at(0).wait, Milliseconds{300});
        fixture.answer("w1", {{EngineFixture::ref().task, 1, "", 100, 0}});
        EXPECT_GE(fixture.poll().at(0).wait, Milliseconds{1000});
    }
}

// Guards against releasing running tasks because of an outdated response.
TEST(Reachability, OutdatedResponseIsIgnored)
{
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    fixture.startAll();
    fixture.poll();
    handlePollResponse(fixture.engine, EngineFixture::incarnation("w1"),
                       fixture.worker("w1").pollNumber - 1, PollResponse{0, 6000, {}, {}, false},
                       fixture.now);
    EXPECT_TRUE(fixture.start().empty());
    EXPECT_EQ(fixture.worker("w1").attempts.size(), 1U);
}

// Guards against a task that runs twice: an entry of the registry with a wrong address leads polls
// to another worker, whose rejection says nothing of the one that runs the task.
TEST(Reachability, EntryWithAnotherAddressKeepsTasks)
{
    SCOPED_TRACE("given a worker that runs a task, and a second worker");
    EngineFixture fixture(2);
    fixture.submit(submission(firstJob, step(1, 1000)));
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    const WorkerIncarnation busy = starts[0].target.worker;
    {
        SCOPED_TRACE("when an entry gives it the address of another process");
        WorkerEntry entry = fixture.engine.workers.at(busy).entry;
        entry.address = "10.0.0.2:80";
        registerWorker(fixture.engine, entry, fixture.now);
        fixture.now += Milliseconds{20};
        {
            SCOPED_TRACE("then polls go to the address at which it has responded");
            const auto polls = fixture.poll();
            ASSERT_FALSE(polls.empty());
            for (const PollCommand &poll : polls) {
                EXPECT_EQ(poll.target.address, "10.0.0.1:80");
            }
        }
    }
}

// Guards against a task that runs twice after a change of owner: a poll that reaches another
// process does not show that the worker has ended, if it has never responded at that address.
TEST(Reachability, RejectionAtUnconfirmedAddressKeepsTasks)
{
    SCOPED_TRACE("given a task of an earlier owner on a worker whose address is not confirmed");
    EngineFixture earlier(1);
    earlier.submit(submission(firstJob, step(1, 1000)));
    earlier.startAll();
    const std::string progress = jobs::encodeProgress(earlier.job());
    EngineFixture fixture(0);
    fixture.submit(submission(firstJob, step(1, 1000)));
    const TimePoint lapsedAt = fixture.now + Milliseconds{10'000};
    ASSERT_TRUE(adoptProgress(fixture.engine, JobId(firstJob), progress, lapsedAt, fixture.now));
    fixture.addWorker("w1");
    fixture.addWorker("w2");
    const auto polls = fixture.poll();
    ASSERT_EQ(polls.size(), 2U);
    fixture.answer("w2");
    {
        SCOPED_TRACE("when the process at that address is another one");
        handleMisdirectedPoll(fixture.engine, polls[0], fixture.now);
        {
            SCOPED_TRACE("then the task is not started again before its lease has expired");
            EXPECT_TRUE(fixture.start().empty());
            fixture.now = lapsedAt + Milliseconds{1};
            fixture.poll();
            EXPECT_EQ(fixture.start().size(), 1U);
        }
    }
}

// Guards against a living worker that is never used again: its report is read while a poll of the
// record that was taken for ended is in flight, so that the record is not forgotten before.
TEST(Reachability, ReportDuringPollBringsWorkerBack)
{
    SCOPED_TRACE("given a worker that is wrongly taken for ended while a poll is in flight");
    EngineFixture fixture(1);
    fixture.submit(submission(firstJob, step(1, 1000)));
    fixture.startAll();
    fixture.poll();
    endIncarnation(fixture.engine, EngineFixture::incarnation("w1"), EndEvidence::MachineAbsent,
                   fixture.now);
    WorkerEntry entry = fixture.worker("w1").entry;
    entry.clockMs = fixture.workerClockMs();
    const auto report = [&] { registerWorker(fixture.engine, entry, fixture.now); };
    {
        SCOPED_TRACE("when a report is read that it wrote before, then it stays ended");
        report();
        EXPECT_TRUE(fixture.worker("w1").isGone);
    }
    {
        SCOPED_TRACE("when its next report is read, then it is polled and gets tasks again");
        fixture.now += Milliseconds{1500};
        entry.clockMs = fixture.workerClockMs();
        report();
        fixture.answer("w1");
        fixture.poll();
        fixture.answerPolls();
        EXPECT_EQ(fixture.start().size(), 1U);
    }
}

}  // namespace
}  // namespace poplarstream::engine
