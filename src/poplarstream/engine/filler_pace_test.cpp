#include "poplarstream/engine/filler_pace.hpp"

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/engine/separation.hpp"  // for separateFillers
#include "poplarstream/engine/worker_health.hpp"  // for rescheduleStragglers
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

jobs::StepSpec fillingStep(int count = 1)
{
    jobs::StepSpec filling = step(count, 2000);
    filling.longRunning = true;
    filling.fills = true;
    filling.image = "index";
    filling.mayMiss = 1;
    return filling;
}

EngineLimits withPaces()
{
    EngineLimits limits;
    limits.paceDelay = Milliseconds{100};
    return limits;
}

// A serving task, and a filling one that finds no other room than beside it.
struct SharedWorker : EngineFixture
{
    explicit SharedWorker(const jobs::StepSpec &filling, const EngineLimits &limits = withPaces())
        : EngineFixture(1)
    {
        engine.limits = limits;
        submit(submission(firstJob, servingStep("web", 3000)));
        runs = startAll();
        submit(submission(secondJob, filling));
        for (StartCommand &start : startAll()) {
            runs.push_back(std::move(start));
        }
    }

    explicit SharedWorker(int fillers = 1)
        : SharedWorker(fillingStep(fillers))
    {}

    // Half a second later all workers report their runs, the serving ones with this tail.
    void report(std::int64_t tailMs)
    {
        now += Milliseconds{500};
        for (const PollCommand &command : poll()) {
            std::vector<RunningReport> running;
            for (const StartCommand &run : runs) {
                const jobs::Attempt *const attempt = findAttempt(engine, {run.task, run.run});
                if (attempt != nullptr && run.target.worker == command.target.worker) {
                    running.push_back({run.task, run.run, "", jobs::readyPercent,
                                       run.task.job == JobId(firstJob) ? tailMs : 900});
                }
            }
            answer(command.target.worker.id.text(), running);
        }
    }

    // Reports, and carries out what is sent. Returns the paces that were set.
    std::vector<int> reportAndPace(std::int64_t tailMs, StopResult result = StopResult::Accepted)
    {
        report(tailMs);
        std::vector<int> percents;
        for (const PaceCommand &pace : take<PaceCommand>()) {
            EXPECT_EQ(pace.task.job, JobId(secondJob));
            percents.push_back(pace.percent);
            handlePaceResult(engine, pace, result, now);
        }
        return percents;
    }

    jobs::Attempt &filler() { return *findAttempt(engine, ref(0, 1, secondJob)); }

    std::vector<StartCommand> runs;
};

// Guards against filling tasks that never run, since the only room is beside serving tasks, and
// against sharing where there is other room.
TEST(FillerPace, SharesWhereThereIsNoOtherRoom)
{
    EXPECT_EQ(SharedWorker().runs.size(), 2U);
    {
        SCOPED_TRACE("given a pair that is known to be harmful");
        EngineFixture fixture(1);
        fixture.engine.limits.paceDelay = Milliseconds{100};
        makeHarmful(fixture.engine, "web", "index");
        fixture.submit(submission(firstJob, servingStep("web", 3000)));
        EXPECT_EQ(fixture.startAll().size(), 1U);
        fixture.submit(submission(secondJob, fillingStep()));
        EXPECT_EQ(fixture.startAll().size(), 1U);
    }
    {
        SCOPED_TRACE("given another worker with room, even a less preferred one");
        EngineFixture fixture(2);
        fixture.engine.limits.paceDelay = Milliseconds{100};
        fixture.submit(submission(firstJob, servingStep("web", 3000)));
        const auto serving = fixture.startAll();
        for (auto &[incarnation, worker] : fixture.engine.workers) {
            worker.isDueForMaintenance = incarnation != serving.at(0).target.worker;
        }
        fixture.submit(submission(secondJob, fillingStep()));
        const auto filling = fixture.startAll();
        ASSERT_EQ(filling.size(), 1U);
        EXPECT_NE(filling[0].target.worker, serving[0].target.worker);
    }
}

// Guards against a serving task that is held over its target by a filling one where no pace, or
// none that acts in time, protects it; and against a filling task that never runs there.
TEST(FillerPace, WithoutPacesFillersRestBesideMissedTargets)
{
    for (const auto &[delay, disruption] :
         {std::pair(0, 4000), std::pair(100, 2000), std::pair(2000, 4000)}) {
        SCOPED_TRACE(fmt::format("given paces that act in {} ms of {} ms", delay, disruption));
        EngineLimits limits;
        limits.paceDelay = Milliseconds{delay};
        limits.disruption = Milliseconds{disruption};
        SharedWorker shared(fillingStep(), limits);
        ASSERT_EQ(shared.runs.size(), 2U);
        const auto restart = [&] {
            for (StartCommand &start : shared.startAll()) {
                shared.runs.push_back(std::move(start));
            }
            return shared.runs.back();
        };
        {
            SCOPED_TRACE("when the target is met, or missed in a single report, then both run on");
            for (const std::int64_t tail : {45, 45, 60, 45, 45, 60, 45}) {
                shared.report(tail);
            }
            EXPECT_TRUE(shared.take<StopCommand>().empty());
        }
        int run = 1;
        for (int round = 0; round < 3; ++round) {
            SCOPED_TRACE("when it stays missed, then the filling task is stopped within 2 s");
            std::vector<StopCommand> stops;
            int reports = 0;
            for (; stops.empty() && reports < 10; ++reports) {
                shared.report(60);
                stops = shared.take<StopCommand>();
            }
            ASSERT_EQ(stops.size(), 1U);
            EXPECT_LE(reports, 3);
            EXPECT_EQ(stops[0].task.job, JobId(secondJob));
            shared.poll();
            shared.answer("w1", {{shared.runs[0].task, 1, "", jobs::readyPercent, 30}},
                          {{run, stops[0].task, run, jobs::AttemptResult::Stopped, ""}});
            {
                SCOPED_TRACE("and starts again after a rest, in less than 9 s");
                EXPECT_TRUE(shared.startAll().empty());
                shared.now += Milliseconds{3000};
                shared.report(30);
                EXPECT_TRUE(shared.startAll().empty());
                shared.now += Milliseconds{2000};
                shared.report(30);
                EXPECT_EQ(restart().run, ++run);
            }
        }
        {
            SCOPED_TRACE("when a worker without serving tasks comes, then it goes there at once");
            shared.addWorker("w2");
            std::vector<StopCommand> stops;
            for (int i = 0; stops.empty() && i < 10; ++i) {
                shared.report(60);
                stops = shared.take<StopCommand>();
            }
            ASSERT_EQ(stops.size(), 1U);
            shared.poll();
            shared.answer("w1", {{shared.runs[0].task, 1, "", jobs::readyPercent, 30}},
                          {{run, stops[0].task, run, jobs::AttemptResult::Stopped, ""}});
            EXPECT_EQ(restart().target.worker.id.text(), "w2");
        }
    }
}

// Guards against a serving task that is held over its target, and against a filling task that stays
// slow afterwards.
TEST(FillerPace, FollowsTheTarget)
{
    SharedWorker shared;
    ASSERT_EQ(shared.runs.size(), 2U);
    EXPECT_TRUE(shared.reportAndPace(30).empty());
    EXPECT_EQ(shared.reportAndPace(60), std::vector<int>{25});
    EXPECT_EQ(shared.reportAndPace(60), std::vector<int>{6});
    EXPECT_EQ(shared.reportAndPace(60), std::vector<int>{0});
    EXPECT_NE(shared.filler().pacedSince, TimePoint{});
    for (int i = 0; i < 10; ++i) {
        shared.reportAndPace(30);
    }
    EXPECT_EQ(shared.filler().pacePercent, 100);
    EXPECT_EQ(shared.filler().pacedSince, TimePoint{});
    {
        SCOPED_TRACE("when the target is missed without it too, then it works and is cleared");
        for (int i = 0; i < 8; ++i) {
            shared.reportAndPace(200);
        }
        EXPECT_LT(interference::estimateOf(shared.engine.interference, "web", "index", shared.now)
                          .deviation,
                  0.3);
        EXPECT_FALSE(interference::isHarmful(shared.engine.interference, "web", "index"));
    }
}

// Guards against a pace command that is carried out late, after newer ones, and against a pace that
// is believed without a confirmation.
TEST(FillerPace, CommandsWithoutAResponse)
{
    SharedWorker shared;
    shared.report(60);
    const auto sent = shared.take<PaceCommand>();
    ASSERT_EQ(sent.size(), 1U);
    {
        SCOPED_TRACE("when no response comes, then the next commands carry a higher token");
        handlePaceResult(shared.engine, sent[0], StopResult::Unknown, shared.now);
        EXPECT_EQ(shared.filler().pacePercent, jobs::unknownPace);
        EXPECT_GT(currentToken(shared.engine, shared.worker("w1")), sent[0].target.fencingToken);
    }
    {
        SCOPED_TRACE("then the pace is set again with the next report, also at a safe load");
        const std::int64_t token = sent[0].target.fencingToken;
        shared.report(30);
        const auto again = shared.take<PaceCommand>();
        ASSERT_EQ(again.size(), 1U);
        EXPECT_EQ(again[0].percent, 0);
        EXPECT_GT(again[0].target.fencingToken, token);
        handlePaceResult(shared.engine, again[0], StopResult::Fenced, shared.now);
        EXPECT_EQ(shared.filler().pacePercent, jobs::unknownPace);
        EXPECT_EQ(shared.reportAndPace(30), std::vector<int>{0});
        EXPECT_EQ(shared.filler().pacePercent, 0);
    }
}

// Guards against a task that an earlier owner has paced and that stays so for ever.
TEST(FillerPace, TakenOverTasksAreSet)
{
    SharedWorker shared;
    shared.filler().pacePercent = jobs::unknownPace;
    EXPECT_EQ(shared.reportAndPace(30), std::vector<int>{0});
    {
        SCOPED_TRACE("when the serving task is gone");
        shared.filler().pacePercent = jobs::unknownPace;
        cancelJob(shared.engine, JobId(firstJob), shared.now);
        shared.report(0);
        std::vector<int> percents;
        for (int i = 0; i < 4; ++i) {
            for (const int percent : shared.reportAndPace(0)) {
                percents.push_back(percent);
            }
        }
        EXPECT_EQ(shared.filler().pacePercent, 100);
    }
}

// Guards against a task that is stopped as stalled, or a worker that is quarantined, since a pace
// keeps it from making progress.
TEST(FillerPace, PacedTasksAreNotStalled)
{
    jobs::StepSpec filling = fillingStep(3);
    filling.longRunning = false;
    SharedWorker shared(filling);
    ASSERT_EQ(shared.runs.size(), 4U);
    shared.addWorker("w2");
    shared.reportAndPace(45);
    for (int i = 0; i < 10; ++i) {
        shared.reportAndPace(60);
        rescheduleStragglers(shared.engine, shared.now);
        if (shared.filler().pacePercent == 0) {
            break;
        }
    }
    ASSERT_EQ(shared.filler().pacePercent, 0);
    for (int i = 0; i < 10; ++i) {
        shared.reportAndPace(45);
        rescheduleStragglers(shared.engine, shared.now);
    }
    EXPECT_TRUE(shared.take<StopCommand>().empty());
    EXPECT_LE(shared.worker("w1").quarantinedUntil, shared.now);
}

// Guards against a filling task that stays slow beside a serving one though another worker has
// room, against moves that do more harm than good, and against moves of serving tasks.
TEST(Separation, MovesFillersThatArePacedForLong)
{
    for (const std::string what :
         {"room", "no room", "room beside serving tasks", "others away", "over the cap"}) {
        SCOPED_TRACE("given " + what);
        SharedWorker shared(2);
        ASSERT_EQ(shared.runs.size(), 3U);
        if (what == "others away") {
            shared.runs.pop_back();
        }
        if (what == "over the cap") {
            shared.engine.accounts[AccountId("press")].id = AccountId("press");
            shared.job(secondJob).submission.account = AccountId("press");
            shared.engine.accountUse[AccountId("press")] = {4000, 200, 0};
            shared.engine.accountLimits[AccountId("press")] = {3000, 1000, 0};
        }
        for (int i = 0; i < 40; ++i) {
            shared.reportAndPace(i % 8 < 3 ? 60 : 45);
            separateFillers(shared.engine, shared.now);
        }
        EXPECT_TRUE(shared.take<StopCommand>().empty());
        if (what != "no room") {
            shared.addWorker("w2");
            shared.reportAndPace(45);
        }
        if (what == "room beside serving tasks") {
            shared.submit(submission("00000000000000c3", servingStep("web", 3000)));
            const auto starts = shared.startAll();
            ASSERT_EQ(starts.size(), 1U);
            EXPECT_EQ(starts[0].target.worker.id.text(), "w2");
            shared.runs.push_back(starts[0]);
        }
        for (int i = 0; i < 4; ++i) {
            shared.reportAndPace(60);
            separateFillers(shared.engine, shared.now);
        }
        const auto stops = shared.take<StopCommand>();
        if (what != "room") {
            EXPECT_TRUE(stops.empty());
            continue;
        }
        // The second one has to wait until the first is at work again.
        ASSERT_EQ(stops.size(), 1U);
        EXPECT_EQ(stops[0].task.job, JobId(secondJob));
    }
}

}  // namespace
}  // namespace poplarstream::engine
