#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/engine/evacuation.hpp"  // for evacuate
#include "poplarstream/engine/filler_pace.hpp"  // for handlePaceResult
#include "poplarstream/engine/separation.hpp"  // for separateFillers
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

// A lasting step of `count` tasks, at most one on a worker.
jobs::StepSpec lastingStep(int count, bool fills)
{
    jobs::StepSpec lasting = fills ? step(count, 1000) : servingStep("web", 1000);
    lasting.count = count;
    lasting.longRunning = true;
    lasting.fills = fills;
    lasting.image = fills ? "index" : "web";
    lasting.antiAffinity = 1;
    return lasting;
}

// A deployment whose workers all host a task of one kind, one of them beside a task of the other.
struct SharedFleet : EngineFixture
{
    // `hasFillers` tells which kind is on all workers.
    SharedFleet(int workers, bool hasFillers)
        : EngineFixture(workers)
    {
        engine.limits.paceDelay = Milliseconds{100};
        submit(submission(firstJob, lastingStep(1, !hasFillers)));
        keep(startAll());
        submit(submission(secondJob, lastingStep(workers, hasFillers)));
        keep(startAll());
    }

    void keep(std::vector<StartCommand> started)
    {
        for (StartCommand &start : started) {
            runs.push_back(std::move(start));
        }
    }

    // The worker with the only task of its kind.
    WorkerIncarnation host() { return attempt().worker; }
    jobs::Attempt &attempt() { return job().occurrences.at(0).steps[0][0].attempts.at(0); }

    // Half a second later all workers report their runs, the serving ones with this tail; what is
    // sent is carried out.
    void report(std::int64_t tailMs)
    {
        now += Milliseconds{500};
        for (const PollCommand &command : poll()) {
            std::vector<RunningReport> running;
            for (const StartCommand &run : runs) {
                const jobs::Attempt *const attempt = findAttempt(engine, {run.task, run.run});
                if (attempt != nullptr && run.target.worker == command.target.worker) {
                    const bool isServing =
                            stepOf(engine.jobs.at(run.task.job), run.task).image == "web";
                    running.push_back(
                            {run.task, run.run, "", jobs::readyPercent, isServing ? tailMs : 900});
                }
            }
            answer(command.target.worker.id.text(), running);
        }
        for (const PaceCommand &pace : take<PaceCommand>()) {
            handlePaceResult(engine, pace, StopResult::Accepted, now);
        }
    }

    // The worker ends for good.
    void lose(const WorkerIncarnation &incarnation)
    {
        endIncarnation(engine, incarnation, EndEvidence::MachineAbsent, now);
        deregisterWorker(engine, incarnation.id);
    }

    std::vector<StartCommand> startKept()
    {
        std::vector<StartCommand> started = startAll();
        keep(started);
        return started;
    }

    std::vector<StartCommand> runs;
};

// Guards against a lasting task that has nothing running for good although workers have room, since
// each of them hosts a task that it is known to slow down, or that slows it down.
TEST(Sharing, LostTaskRestartsBesideConflicts)
{
    for (const bool hasFillers : {true, false}) {
        for (const int workers : {3, 8}) {
            SCOPED_TRACE(
                    fmt::format("given {} workers with a task that {}, one beside the other kind",
                                workers, hasFillers ? "fills" : "serves"));
            SharedFleet fleet(workers, hasFillers);
            ASSERT_EQ(fleet.runs.size(), static_cast<std::size_t>(workers) + 1);
            makeHarmful(fleet.engine, "web", "index");
            const WorkerIncarnation lost = fleet.host();
            {
                SCOPED_TRACE("when that worker is lost, then its task restarts beside another one");
                fleet.lose(lost);
                const auto restarted = fleet.startKept();
                ASSERT_EQ(restarted.size(), 1U);
                EXPECT_EQ(restarted[0].task, EngineFixture::ref().task);
                EXPECT_NE(restarted[0].target.worker, lost);
            }
            {
                SCOPED_TRACE(
                        "when a worker comes in its place, then the other kind restarts there");
                fleet.addWorker("w9");
                fleet.report(30);
                const auto started = fleet.startKept();
                ASSERT_EQ(started.size(), 1U);
                EXPECT_EQ(started[0].task.job, JobId(secondJob));
                EXPECT_EQ(started[0].target.worker.id.text(), "w9");
            }
        }
    }
}

// Guards against a serving task that is held over its target by a task that had to start beside it,
// and against a filling task that stays there when there is room elsewhere.
TEST(Sharing, TargetsArePacedAndTasksPartedAgain)
{
    SCOPED_TRACE("given a filling task that had to start beside a task that it slows down");
    SharedFleet fleet(3, false);
    makeHarmful(fleet.engine, "web", "index");
    fleet.lose(fleet.host());
    ASSERT_EQ(fleet.startKept().size(), 1U);
    {
        SCOPED_TRACE("when the target is met, then both go on at full pace");
        for (int i = 0; i < 40; ++i) {
            fleet.report(30);
            separateFillers(fleet.engine, fleet.now);
        }
        EXPECT_EQ(fleet.attempt().pacePercent, jobs::fullPacePercent);
        EXPECT_TRUE(fleet.take<StopCommand>().empty());
    }
    {
        SCOPED_TRACE("when the target is missed, then the filling task stops working within two "
                     "seconds, and stays as long as there is no other room");
        for (int i = 0; i < 4; ++i) {
            fleet.report(60);
        }
        EXPECT_EQ(fleet.attempt().pacePercent, 0);
        for (int i = 0; i < 40; ++i) {
            fleet.report(45);
            separateFillers(fleet.engine, fleet.now);
        }
        EXPECT_TRUE(fleet.take<StopCommand>().empty());
    }
    {
        SCOPED_TRACE("when a worker without serving tasks comes, then it moves there");
        fleet.addWorker("w9");
        for (int i = 0; i < 4; ++i) {
            fleet.report(60);
            separateFillers(fleet.engine, fleet.now);
        }
        const auto stops = fleet.take<StopCommand>();
        ASSERT_EQ(stops.size(), 1U);
        EXPECT_EQ(stops[0].task, EngineFixture::ref().task);
        fleet.answer(fleet.host().id.text(), {},
                     {{1, stops[0].task, stops[0].run, jobs::AttemptResult::Stopped, ""}});
        const auto started = fleet.startKept();
        ASSERT_FALSE(started.empty());
        EXPECT_EQ(started[0].target.worker.id.text(), "w9");
    }
}

// Guards against harm that could be avoided: a worker where filling and serving tasks slow each
// other down comes after all others, also after one where the task has failed.
TEST(Sharing, ConflictsAreTheLastResort)
{
    SCOPED_TRACE("given a serving task on one of two workers, of an image in conflict");
    const auto serveOn = [](EngineFixture &fixture) {
        fixture.engine.limits.paceDelay = Milliseconds{100};
        fixture.submit(submission(firstJob, lastingStep(1, false)));
        const auto started = fixture.startAll();
        makeHarmful(fixture.engine, "web", "index");
        return started.at(0).target.worker;
    };
    {
        SCOPED_TRACE("when a filling task fails on the other one, then it restarts there");
        EngineFixture fixture;
        const WorkerIncarnation serving = serveOn(fixture);
        fixture.submit(submission(secondJob, lastingStep(1, true)));
        const auto first = fixture.startAll();
        ASSERT_EQ(first.size(), 1U);
        ASSERT_NE(first[0].target.worker, serving);
        fixture.poll();
        fixture.answer(first[0].target.worker.id.text(), {},
                       {{1, first[0].task, 1, jobs::AttemptResult::Failed, ""}});
        fixture.now += Milliseconds{5000};
        const auto again = fixture.startAll();
        ASSERT_EQ(again.size(), 1U);
        EXPECT_EQ(again[0].target.worker, first[0].target.worker);
    }
    {
        SCOPED_TRACE("when a filling task that ends has failed there a moment ago, then it waits");
        EngineFixture fixture;
        const WorkerIncarnation serving = serveOn(fixture);
        jobs::StepSpec ending = lastingStep(1, true);
        ending.longRunning = false;
        fixture.submit(submission(secondJob, ending));
        const auto first = fixture.startAll();
        ASSERT_EQ(first.size(), 1U);
        fixture.poll();
        fixture.answer(first[0].target.worker.id.text(), {},
                       {{1, first[0].task, 1, jobs::AttemptResult::Failed, ""}});
        fixture.now = fixture.job(secondJob).occurrences.at(0).steps[0][0].notBefore;
        EXPECT_TRUE(fixture.startAll().empty());
        fixture.now += Milliseconds{1000};
        const auto again = fixture.startAll();
        ASSERT_EQ(again.size(), 1U);
        EXPECT_NE(again[0].target.worker, serving);
    }
    {
        SCOPED_TRACE("when a gang wants one rack, then it gets another rack without conflict");
        EngineFixture fixture(3);
        const WorkerIncarnation serving = serveOn(fixture);
        jobs::StepSpec gang = step(4, 1000);
        gang.fills = gang.gang = gang.sameRack = true;
        gang.image = "index";
        fixture.submit(submission(secondJob, gang));
        const auto started = fixture.startAll();
        ASSERT_EQ(started.size(), 4U);
        for (const StartCommand &start : started) {
            EXPECT_NE(start.target.worker, serving);
        }
    }
    {
        SCOPED_TRACE("when a gang has no other room, then it starts beside the conflict");
        EngineFixture fixture(1);
        serveOn(fixture);
        jobs::StepSpec gang = step(4, 1000);
        gang.fills = gang.gang = true;
        gang.image = "index";
        fixture.submit(submission(secondJob, gang));
        EXPECT_EQ(fixture.startAll().size(), 4U);
    }
    {
        SCOPED_TRACE("when a copy of a slow task has no other room, then there is none");
        EngineFixture fixture;
        const WorkerIncarnation serving = serveOn(fixture);
        jobs::StepSpec copied = step(1, 1000);
        copied.fills = copied.speculative = true;
        copied.image = "index";
        fixture.submit(submission(secondJob, copied));
        const auto first = fixture.startAll();
        ASSERT_EQ(first.size(), 1U);
        ASSERT_NE(first[0].target.worker, serving);
        // Copies are planned with the waiting tasks of their service.
        fixture.submit(submission("00000000000000c3", step(1, 9000)));
        fixture.now += Milliseconds{3000};
        EXPECT_TRUE(fixture.startAll().empty());
        fixture.engine.interference = {};
        EXPECT_EQ(fixture.startAll().size(), 1U);
    }
}

// Guards against a lasting task that ends with its worker, and against maintenance that never
// begins, since the only other room is beside a task in conflict.
TEST(Sharing, LeavingWorkersAreEmptiedBesideConflicts)
{
    for (const bool isDraining : {true, false}) {
        SCOPED_TRACE(isDraining ? "given a worker that drains" : "given a worker that is cordoned");
        SharedFleet fleet(3, true);
        makeHarmful(fleet.engine, "web", "index");
        fleet.report(30);
        Worker &worker = fleet.engine.workers.at(fleet.host());
        worker.entry.isDraining = isDraining;
        worker.isCordoned = !isDraining;
        evacuate(fleet.engine, fleet.now);
        const auto stops = fleet.take<StopCommand>();
        ASSERT_EQ(stops.size(), 1U);
        EXPECT_EQ(stops[0].task, EngineFixture::ref().task);
    }
}

}  // namespace
}  // namespace poplarstream::engine
