#include "poplarstream/engine/account_caps.hpp"

#include <algorithm>  // for count_if

#include <gtest/gtest.h>  // for TEST

#include "engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/engine/evacuation.hpp"  // for evacuate
#include "poplarstream/engine/waiting_work.hpp"  // for waitingWork
#include "poplarstream/jobs/codec.hpp"  // for encodeProgress

namespace poplarstream::engine {
namespace {

using test::EngineFixture;
using test::firstJob;
using test::secondJob;

const AccountId account("harbour");

void setCap(Engine &engine, const jobs::Resources &cap)
{
    configureAccounts(engine, {{account, {account, 1, cap}}}, {{account, accounts::limitsOf(cap)}});
}

jobs::Submission submissionOf(const std::string &id, const jobs::StepSpec &step)
{
    jobs::Submission submission = test::submission(id, step);
    submission.account = account;
    return submission;
}

jobs::StepSpec gangOf(int count, std::int64_t cpuMilli)
{
    jobs::StepSpec step = test::step(count, cpuMilli);
    step.gang = true;
    return step;
}

auto decisionsOf(const Engine &engine, DecisionKind kind)
{
    return std::count_if(engine.decisions.begin(), engine.decisions.end(),
                         [kind](const Decision &decision) { return decision.kind == kind; });
}

void endFirst(EngineFixture &fixture, const StartCommand &start, int number)
{
    fixture.poll();
    const std::string worker = start.target.worker.id.text();
    std::vector<RunningReport> others;
    for (const auto &[ref, decisivePoll] : fixture.worker(worker).attempts) {
        if (ref != AttemptRef{start.task, start.run}) {
            others.push_back({.task = ref.task, .run = ref.run});
        }
    }
    fixture.answer(worker, std::move(others),
                   {{number, start.task, start.run, jobs::AttemptResult::Done, ""}});
}

// Guards against a step wider than its account's cap that starts at once, or never ends. Load: a
// step of ten cores under a cap of four, beside a public queue.
TEST(AccountCaps, WideStepRunsInWaves)
{
    SCOPED_TRACE("given workers of 16 cores, a cap of 4 and a step of ten cores");
    EngineFixture fixture(4);
    setCap(fixture.engine, {4000, 0, 0});
    fixture.submit(submissionOf(firstJob, test::step(10, 1000)));
    fixture.submit(test::submission(secondJob, test::step(6, 1000)));
    std::vector<StartCommand> starts = fixture.startAll();
    EXPECT_EQ(starts.size(), 10U);
    EXPECT_EQ(useOf(fixture.engine, account).cpuMilli, 4000);
    {
        SCOPED_TRACE("when one of its tasks ends, then the next one starts");
        const auto own = std::find_if(starts.begin(), starts.end(), [](const StartCommand &start) {
            return start.task.job == JobId(firstJob);
        });
        endFirst(fixture, *own, 1);
        EXPECT_EQ(fixture.startAll().size(), 1U);
        EXPECT_EQ(useOf(fixture.engine, account).cpuMilli, 4000);
    }
    {
        SCOPED_TRACE("and the hold is logged once, and its end after a while without one");
        for (int plan = 0; plan < 5; ++plan) {
            planStarts(fixture.engine, fixture.now);
        }
        EXPECT_EQ(decisionsOf(fixture.engine, DecisionKind::AccountHeld), 1);
        cancelJob(fixture.engine, JobId(firstJob), fixture.now);
        fixture.now += Milliseconds{3000};
        planStarts(fixture.engine, fixture.now);
        EXPECT_EQ(decisionsOf(fixture.engine, DecisionKind::AccountFree), 1);
    }
}

// Guards against a task wider than half of the cap that waits behind narrow ones for ever: a cap
// half used lets it start, beyond the cap by less than one task.
TEST(AccountCaps, WideTaskIsNotStarved)
{
    SCOPED_TRACE("given a cap of 4 cores of which 1 is used, and a task of 4 cores");
    EngineFixture fixture(3);
    setCap(fixture.engine, {4000, 0, 0});
    fixture.submit(submissionOf(firstJob, test::step(1, 1000)));
    EXPECT_EQ(fixture.startAll().size(), 1U);
    fixture.submit(submissionOf(secondJob, test::step(2, 4000)));
    {
        SCOPED_TRACE("then one such task starts, and not another");
        EXPECT_EQ(fixture.startAll().size(), 1U);
        EXPECT_EQ(useOf(fixture.engine, account).cpuMilli, 5000);
        EXPECT_TRUE(fixture.startAll().empty());
    }
}

// Guards against the cap passed by a new owner that does not count what its predecessor started,
// and by runs that have been told to stop but still go on.
TEST(AccountCaps, HoldsAfterATakeover)
{
    SCOPED_TRACE("given an owner that takes over a filling step that takes all of the cap");
    jobs::StepSpec filling = test::step(2, 1000);
    filling.fills = true;
    EngineFixture previous(2);
    setCap(previous.engine, {2000, 0, 0});
    previous.submit(submissionOf(firstJob, filling));
    const std::vector<StartCommand> starts = previous.startAll();
    EngineFixture next(2);
    setCap(next.engine, {2000, 0, 0});
    next.submit(submissionOf(firstJob, filling));
    next.submit(submissionOf(secondJob, test::step(1, 1000)));
    ASSERT_TRUE(adoptProgress(next.engine, JobId(firstJob), jobs::encodeProgress(previous.job()),
                              next.now, next.now));
    EXPECT_EQ(useOf(next.engine, account), useOf(previous.engine, account));
    EXPECT_TRUE(next.start().empty());
    {
        SCOPED_TRACE("when the step's job is cancelled, then nothing starts until it has ended");
        cancelJob(next.engine, JobId(firstJob), next.now);
        EXPECT_TRUE(next.start().empty());
        next.poll();
        for (const StartCommand &start : starts) {
            next.answer(start.target.worker.id.text());
        }
        EXPECT_EQ(next.start().size(), 1U);
    }
}

// Guards against a gang of which a part starts at the cap, and against one that never starts since
// narrow tasks of its account take all that becomes free.
TEST(AccountCaps, GangIsCheckedWhole)
{
    SCOPED_TRACE("given a cap of 4 cores of which 2 are used, and a gang of 3");
    EngineFixture fixture(4);
    setCap(fixture.engine, {4000, 0, 0});
    fixture.submit(submissionOf(secondJob, test::step(2, 1000)));
    const std::vector<StartCommand> first = fixture.startAll();
    jobs::Submission gang = submissionOf(firstJob, gangOf(3, 1000));
    gang.policy.priority = -1;
    fixture.submit(gang);
    fixture.submit(submissionOf("00000000000000c3", test::step(5, 1000)));
    {
        SCOPED_TRACE("then neither a member nor a narrow task starts while it waits");
        EXPECT_TRUE(fixture.start().empty());
    }
    {
        SCOPED_TRACE("when one core is free, then the gang starts and fills the cap");
        endFirst(fixture, first[0], 1);
        const std::vector<StartCommand> starts = fixture.startAll();
        ASSERT_EQ(starts.size(), 3U);
        EXPECT_EQ(starts[0].task.job, JobId(firstJob));
    }
}

// Guards against narrow tasks that wait for ever behind a gang that no cap lets start.
TEST(AccountCaps, GangWiderThanCapWaitsAlone)
{
    SCOPED_TRACE("given a gang of 6 cores under a cap of 4, and a narrow task behind it");
    EngineFixture fixture(4);
    setCap(fixture.engine, {4000, 0, 0});
    fixture.engine.limits.capOvershoot = 0.1;
    jobs::Submission gang = submissionOf(firstJob, gangOf(6, 1000));
    gang.policy.priority = -1;
    fixture.submit(gang);
    EXPECT_TRUE(fixture.start().empty());
    fixture.submit(submissionOf(secondJob, test::step(1, 1000)));
    {
        SCOPED_TRACE("then the narrow task starts, and the decision names the reason");
        EXPECT_EQ(fixture.start().size(), 1U);
        const auto held = std::find_if(
                fixture.engine.decisions.begin(), fixture.engine.decisions.end(),
                [](const Decision &each) { return each.kind == DecisionKind::AccountHeld; });
        ASSERT_NE(held, fixture.engine.decisions.end());
        EXPECT_NE(held->inputs.find("account=harbour"), std::string::npos);
        EXPECT_NE(held->inputs.find("reason=gang-wider-than-cap"), std::string::npos);
    }
    {
        SCOPED_TRACE("and a gang of 5 starts when the account runs nothing");
        EngineFixture idle(4);
        setCap(idle.engine, {4000, 0, 0});
        idle.engine.limits.capOvershoot = 0.1;
        idle.submit(submissionOf(firstJob, gangOf(5, 1000)));
        EXPECT_EQ(idle.start().size(), 5U);
    }
}

// Guards against narrow tasks that wait for ever behind a gang that does not fit beside tasks that
// last: the room that is kept for it would never be enough.
TEST(AccountCaps, GangBesideTasksThatLastKeepsNoRoom)
{
    SCOPED_TRACE("given a cap of 4 cores, a task of 1 core that lasts and a gang of 4");
    EngineFixture fixture(4);
    setCap(fixture.engine, {4000, 0, 0});
    jobs::StepSpec lasting = test::step(1, 1000);
    lasting.longRunning = true;
    fixture.submit(submissionOf(firstJob, lasting));
    EXPECT_EQ(fixture.startAll().size(), 1U);
    jobs::Submission gang = submissionOf(secondJob, gangOf(4, 1000));
    gang.policy.priority = -1;
    fixture.submit(gang);
    fixture.submit(submissionOf("00000000000000c3", test::step(1, 1000)));
    {
        SCOPED_TRACE("then the narrow task starts, and owners are not asked for room for the gang");
        const std::vector<StartCommand> starts = fixture.startAll();
        ASSERT_EQ(starts.size(), 1U);
        EXPECT_EQ(starts[0].task.job, JobId("00000000000000c3"));
        EXPECT_TRUE(waitingWork(fixture.engine, fixture.now).at(account).total.fits({}));
    }
    {
        SCOPED_TRACE("when both jobs have ended, then the gang starts");
        cancelJob(fixture.engine, JobId(firstJob), fixture.now);
        cancelJob(fixture.engine, JobId("00000000000000c3"), fixture.now);
        fixture.poll();
        fixture.answerPolls();
        EXPECT_TRUE(fixture.engine.longRunningUse.empty());
        EXPECT_EQ(fixture.start().size(), 4U);
    }
}

// Guards against a narrow task that waits for seconds behind a gang while most of the cap is free,
// because a run that the gang waits for takes long.
TEST(AccountCaps, RoomForAGangIsKeptForABoundedTime)
{
    SCOPED_TRACE("given a cap of 4 cores of which 1 is used, a gang of 4 and a narrow task");
    EngineFixture fixture(4);
    setCap(fixture.engine, {4000, 0, 0});
    fixture.submit(submissionOf(firstJob, test::step(1, 1000)));
    EXPECT_EQ(fixture.startAll().size(), 1U);
    jobs::Submission gang = submissionOf(secondJob, gangOf(4, 1000));
    gang.policy.priority = -1;
    fixture.submit(gang);
    fixture.submit(submissionOf("00000000000000c3", test::step(2, 1000)));
    {
        SCOPED_TRACE("then room is kept for a second");
        EXPECT_TRUE(fixture.start().empty());
        fixture.now += Milliseconds{1000};
        EXPECT_TRUE(fixture.start().empty());
    }
    {
        SCOPED_TRACE("and after two, narrow tasks start until half of the cap is used");
        fixture.now += Milliseconds{1000};
        fixture.start();
        EXPECT_EQ(fixture.start().size(), 1U);
        EXPECT_TRUE(fixture.start().empty());
        EXPECT_EQ(useOf(fixture.engine, account).cpuMilli, 2000);
    }
}

// Guards against starts beyond a cap that dropped while their write was in flight.
TEST(AccountCaps, DropsWhileBeingWritten)
{
    SCOPED_TRACE("given four starts of 1 core whose write is in flight");
    EngineFixture fixture(2);
    setCap(fixture.engine, {4000, 0, 0});
    fixture.submit(submissionOf(firstJob, test::step(4, 1000)));
    planStarts(fixture.engine, fixture.now);
    const Batch batch = collectBatch(fixture.engine);
    {
        SCOPED_TRACE("when the cap drops to 1 core, then as many are sent as it bears");
        setCap(fixture.engine, {1000, 0, 0});
        applyStored(fixture.engine, batch, fixture.now);
        EXPECT_EQ(fixture.take<StartCommand>().size(), 2U);  // one task more than the cap
        EXPECT_EQ(useOf(fixture.engine, account).cpuMilli, 2000);
        EXPECT_TRUE(fixture.start().empty());
    }
    {
        SCOPED_TRACE("when the cap drops while tasks run, then they go on");
        setCap(fixture.engine, {500, 0, 0});
        EXPECT_TRUE(fixture.start().empty());
        EXPECT_TRUE(fixture.take<StopCommand>().empty());
    }
}

// Guards against a task that is stopped for a move although its account may not start it again.
TEST(AccountCaps, NothingIsMovedBeyondTheCap)
{
    SCOPED_TRACE("given two tasks that last, and a cap that has dropped below them");
    EngineFixture fixture(2);
    setCap(fixture.engine, {2000, 0, 0});
    jobs::StepSpec lasting = test::step(2, 1000);
    lasting.longRunning = true;
    lasting.antiAffinity = 2;
    lasting.mayMiss = 2;
    fixture.submit(submissionOf(firstJob, lasting));
    const std::vector<StartCommand> starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 2U);
    setCap(fixture.engine, {1000, 0, 0});
    EXPECT_FALSE(mayRestart(fixture.engine, fixture.job(), lasting));
    {
        SCOPED_TRACE("when their worker is to be emptied, then none is stopped");
        fixture.engine.workers.at(starts[0].target.worker).isCordoned = true;
        evacuate(fixture.engine, fixture.now);
        EXPECT_TRUE(fixture.take<StopCommand>().empty());
        setCap(fixture.engine, {2000, 0, 0});
        evacuate(fixture.engine, fixture.now);
        EXPECT_FALSE(fixture.take<StopCommand>().empty());
    }
}

// Guards against work of a removed account that starts, is stopped or gets lost.
TEST(AccountCaps, RemovedAccount)
{
    SCOPED_TRACE("given an account with one running and one waiting task");
    EngineFixture fixture(2);
    setCap(fixture.engine, {1000, 0, 0});
    fixture.submit(submissionOf(firstJob, test::step(2, 1000)));
    EXPECT_EQ(fixture.startAll().size(), 1U);
    {
        SCOPED_TRACE("when the account is removed, then the one runs on and the other waits");
        configureAccounts(fixture.engine, {}, {});
        EXPECT_TRUE(fixture.start().empty());
        EXPECT_TRUE(fixture.take<StopCommand>().empty());
        EXPECT_EQ(fixture.job().state, jobs::JobState::Running);
        EXPECT_TRUE(fixture.engine.waiting.contains(fixture.job()));
    }
    {
        SCOPED_TRACE("when it is added again, then the other starts");
        setCap(fixture.engine, {2000, 0, 0});
        EXPECT_EQ(fixture.start().size(), 1U);
    }
}

}  // namespace
}  // namespace poplarstream::engine
