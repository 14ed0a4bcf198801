#include "poplarstream/engine/unplaced_tasks.hpp"

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/engine/explain_job.hpp"  // for explainJob
#include "poplarstream/engine/placement_report.hpp"  // for reportPlacement
#include "serving_fixture.hpp"  // for EngineFixture

namespace poplarstream::engine {
namespace {

using test::EngineFixture;
using test::firstJob;
using test::step;
using test::submission;

jobs::StepSpec lastingStep(int count = 1)
{
    jobs::StepSpec lasting = step(count, 1000);
    lasting.longRunning = true;
    return lasting;
}

// Reviews for so long, once a second. Returns the inputs of the waits that were recorded.
std::vector<std::string> reviewFor(EngineFixture &fixture, Milliseconds time)
{
    std::vector<std::string> recorded;
    for (const TimePoint end = fixture.now + time; fixture.now < end;) {
        fixture.now += Milliseconds{1000};
        fixture.startAll();
        fixture.engine.decisions.clear();
        reviewUnplacedTasks(fixture.engine, fixture.now);
        for (const Decision &decision : fixture.engine.decisions) {
            EXPECT_EQ(decision.kind, DecisionKind::TaskUnplaced);
            recorded.push_back(decision.inputs);
        }
    }
    return recorded;
}

bool isSaid(const std::vector<std::string> &lines, const std::string &text)
{
    return !lines.empty() && lines.back().find(text) != std::string::npos;
}

// Guards against a task that waits for good beside free capacity while nothing tells an operator.
TEST(UnplacedTasks, WaitBesideRoomIsReportedWithItsReasons)
{
    SCOPED_TRACE(
            "given a task beside a full worker, whose two others are cordoned and in quarantine");
    EngineFixture fixture(3);
    fixture.worker("w1").isCordoned = true;
    fixture.worker("w2").quarantinedUntil = fixture.now + Milliseconds{60'000};
    fixture.submit(submission(test::secondJob, step(1, 4000)));
    ASSERT_EQ(fixture.startAll().size(), 1U);
    fixture.submit(submission(firstJob, step(1, 1000)));
    {
        SCOPED_TRACE("when it has waited for less than three seconds, then nothing is recorded");
        EXPECT_TRUE(reviewFor(fixture, Milliseconds{3000}).empty());
        EXPECT_EQ(reportedSteps(fixture.engine), 0U);
    }
    {
        SCOPED_TRACE("when it waits on, then one line tells why, and it is counted");
        const auto recorded = reviewFor(fixture, Milliseconds{20'000});
        ASSERT_EQ(recorded.size(), 1U);
        EXPECT_EQ(recorded[0],
                  "tasks=1 waits_ms=3000 workers=3 with_room=2 cordoned=1 quarantined=1");
        EXPECT_EQ(fixture.engine.tasksUnplaced, 1U);
        EXPECT_EQ(reportedSteps(fixture.engine), 1U);
    }
    {
        SCOPED_TRACE("then the longest wait is known by service and reason");
        const auto waits = longestWaits(fixture.engine, fixture.now);
        ASSERT_EQ(waits.size(), 1U);
        EXPECT_EQ(waits.begin()->first, std::pair(ServiceId("shop"), std::string("cordoned")));
        EXPECT_EQ(waits.begin()->second, Milliseconds{22'000});
    }
    {
        SCOPED_TRACE("then an explanation names the same reasons");
        EXPECT_TRUE(isSaid(explainJob(fixture.engine, JobId(firstJob), fixture.now),
                           "Service shop has 3 workers, 2 of them with room: 1 are being emptied "
                           "for maintenance or a move, 1 are in quarantine after failures."));
    }
    {
        SCOPED_TRACE("when a worker may get tasks again, then the wait is over");
        fixture.worker("w1").isCordoned = false;
        EXPECT_TRUE(reviewFor(fixture, Milliseconds{2000}).empty());
        EXPECT_TRUE(longestWaits(fixture.engine, fixture.now).empty());
        EXPECT_EQ(reportedSteps(fixture.engine), 0U);
        EXPECT_EQ(fixture.engine.tasksUnplaced, 1U);
        EXPECT_TRUE(isSaid(explainJob(fixture.engine, JobId(firstJob), fixture.now),
                           "1 tasks, 0 done, 1 with a run, 0 given up, 0 due for a start."));
    }
}

// Guards against reports of tasks that wait for good reason: for capacity, for their client
// account, for the steps before them, or for an owner that may start nothing.
TEST(UnplacedTasks, WaitsWithoutRoomAreNotReported)
{
    {
        SCOPED_TRACE("given workers that are full, also those that are cordoned");
        EngineFixture fixture;
        fixture.submit(submission(firstJob, lastingStep(8)));
        ASSERT_EQ(fixture.startAll().size(), 8U);
        fixture.worker("w1").isCordoned = true;
        fixture.submit(submission(test::secondJob, lastingStep()));
        EXPECT_TRUE(reviewFor(fixture, Milliseconds{10'000}).empty());
        EXPECT_TRUE(isSaid(explainJob(fixture.engine, JobId(test::secondJob), fixture.now),
                           "Service shop has 2 workers, 0 of them with room."));
    }
    {
        SCOPED_TRACE("given a task that needs a label, and one that is at its step's limit");
        EngineFixture fixture;
        jobs::StepSpec labelled = lastingStep();
        labelled.requiredLabel = "gpu";
        jobs::StepSpec limited = lastingStep(3);
        limited.antiAffinity = 1;
        fixture.submit(submission(firstJob, labelled));
        fixture.submit(submission(test::secondJob, limited));
        EXPECT_TRUE(reviewFor(fixture, Milliseconds{10'000}).empty());
    }
    {
        SCOPED_TRACE("given an owner that may start nothing, an account at its cap, a held job");
        for (const std::string reason : {"owner", "account", "job"}) {
            SCOPED_TRACE(reason);
            EngineFixture fixture;
            fixture.worker("w1").isCordoned = fixture.worker("w2").isCordoned = reason != "account";
            fixture.submit(submission(firstJob, lastingStep()));
            fixture.engine.mayStart = reason != "owner";
            fixture.job().isHeld = reason == "job";
            if (reason == "account") {
                fixture.job().submission.account = AccountId("press");
                fixture.engine.accounts[AccountId("press")].id = AccountId("press");
                fixture.engine.accountLimits[AccountId("press")] = {500, 1000, 0};
            }
            EXPECT_TRUE(reviewFor(fixture, Milliseconds{10'000}).empty());
        }
    }
}

// Guards against a gang that is reported although it doesn't fit anywhere together.
TEST(UnplacedTasks, GangsNeedRoomForAllMembers)
{
    for (const int members : {8, 9}) {
        EngineFixture fixture;
        fixture.worker("w1").isCordoned = true;
        jobs::StepSpec gang = step(members, 1000);
        gang.gang = true;
        fixture.submit(submission(firstJob, gang));
        EXPECT_EQ(reviewFor(fixture, Milliseconds{10'000}).size(), members == 8 ? 1U : 0U);
    }
}

// Guards against an owner that spends its time on reports instead of starts.
TEST(UnplacedTasks, ReviewsAreBounded)
{
    EngineFixture fixture(20);
    for (auto &[incarnation, worker] : fixture.engine.workers) {
        worker.isCordoned = true;
    }
    for (int i = 0; i < 2000; ++i) {
        fixture.submit(submission(fmt::format("{:016x}", i + 1), lastingStep()));
    }
    reviewUnplacedTasks(fixture.engine, fixture.now);
    EXPECT_EQ(fixture.engine.unplaced.size(), 500U);
}

}  // namespace
}  // namespace poplarstream::engine
