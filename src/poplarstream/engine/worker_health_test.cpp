#include "poplarstream/engine/worker_health.hpp"

#include <algorithm>  // for find, max
#include <map>  // for map
#include <random>  // for mt19937_64

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/jobs/queries.hpp"  // for isFinal, findTask

namespace poplarstream::engine {
namespace {

using test::EngineFixture;
using test::firstJob;
using test::step;
using test::submission;

// The naive version: visits the attempts of each worker and looks up each.
std::vector<AttemptRef> stalledNaively(Engine &engine, TimePoint now)
{
    std::vector<AttemptRef> stalled;
    for (const auto &[incarnation, worker] : engine.workers) {
        if (worker.isGone || worker.reachability != Reachability::Reachable) {
            continue;
        }
        for (const auto &[ref, decisivePoll] : worker.attempts) {
            const jobs::Job &job = engine.jobs.at(ref.task.job);
            const jobs::Attempt *const attempt = findAttempt(engine, ref);
            const bool isSearched = !stepOf(job, ref.task).longRunning
                                    && !stepOf(job, ref.task).gang && !jobs::isFinal(job.state)
                                    && attempt != nullptr
                                    && attempt->phase == jobs::AttemptPhase::Running;
            if (!isSearched) {
                continue;
            }
            const TimePoint since = std::max(attempt->progressedAt, attempt->startedAt);
            if (attempt->percent >= 0 && now >= since + Milliseconds{1200}
                && worker.answeredAt >= since + Milliseconds{800}) {
                stalled.push_back(ref);
            }
        }
    }
    return stalled;
}

std::vector<AttemptRef> takeStalled(Engine &engine)
{
    std::vector<AttemptRef> stalled;
    for (const Decision &decision : engine.decisions) {
        if (decision.kind == DecisionKind::TaskStalled) {
            stalled.push_back({decision.task, decision.run});
        }
    }
    engine.decisions.clear();
    return stalled;
}

// Workers that respond, are silent or have ended, with tasks of several kinds at random progress.
void shuffle(EngineFixture &fixture, std::mt19937_64 &random)
{
    for (auto &[id, job] : fixture.engine.jobs) {
        for (jobs::Task &task : job.occurrences.at(0).steps[0]) {
            for (jobs::Attempt &attempt : task.attempts) {
                attempt.percent = static_cast<int>(random() % 4) * 10 - 10;
                attempt.startedAt = fixture.now - Milliseconds(random() % 3000);
                attempt.progressedAt = fixture.now - Milliseconds(random() % 3000);
                attempt.phase = random() % 5 == 0 ? jobs::AttemptPhase::Stopping
                                                  : jobs::AttemptPhase::Running;
            }
        }
    }
    for (auto &[incarnation, worker] : fixture.engine.workers) {
        worker.answeredAt = fixture.now - Milliseconds(random() % 1500);
        worker.isGone = random() % 8 == 0;
        worker.reachability =
                random() % 6 == 0 ? Reachability::Unreachable : Reachability::Reachable;
    }
}

// Guards against a stalled task that the search over the jobs misses, or a sound one that it takes
// for stalled: it must find what a visit of all workers finds, in the same order.
TEST(WorkerHealth, SearchOverJobsFindsWhatSearchOverWorkersFinds)
{
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("given tasks at random progress, seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        EngineFixture fixture(6);
        for (int i = 0; i < 12; ++i) {
            jobs::StepSpec spec = step(1 + static_cast<int>(random() % 3), 500);
            spec.longRunning = random() % 6 == 0;
            spec.speculative = !spec.longRunning && random() % 4 == 0;
            fixture.submit(submission("00000000000000" + std::to_string(10 + i), spec));
        }
        fixture.startAll();
        shuffle(fixture, random);
        cancelJob(fixture.engine, JobId("0000000000000011"), fixture.now);
        fixture.engine.decisions.clear();
        {
            SCOPED_TRACE("when stalled tasks are rescheduled");
            const std::vector<AttemptRef> expected = stalledNaively(fixture.engine, fixture.now);
            rescheduleStragglers(fixture.engine, fixture.now);
            {
                SCOPED_TRACE("then they are those that a visit of all workers finds");
                EXPECT_EQ(takeStalled(fixture.engine), expected);
                found += expected.size();
            }
        }
    }
    EXPECT_GT(found, 200U);
}

// Guards against workers that are all kept from new tasks because tasks that last fail now and then
// (review/5): what has served may fail at any time, on any worker.
TEST(WorkerHealth, FailureOfWhatHasServedIsNoEvidence)
{
    SCOPED_TRACE("given lasting tasks of four jobs on one worker");
    EngineFixture fixture(1);
    const std::vector<std::string> ids{"00000000000000d1", "00000000000000d2", "00000000000000d3",
                                       "00000000000000d4"};
    for (const std::string &id : ids) {
        jobs::StepSpec lasting = step(1, 500);
        lasting.longRunning = true;
        fixture.submit(submission(id, lasting));
    }
    ASSERT_EQ(fixture.startAll().size(), ids.size());
    std::int64_t number = 0;
    // The given tasks fail after they have been at `percent`; the others have just begun.
    const auto fail = [&](const std::vector<std::string> &failing, int percent) {
        std::vector<RunningReport> before;
        std::vector<RunningReport> after;
        std::vector<CompletionReport> ends;
        for (const std::string &id : ids) {
            const int run = fixture.job(id).occurrences.at(0).steps[0][0].lastRun;
            const AttemptRef ref = EngineFixture::ref(0, run, id);
            const bool fails = std::find(failing.begin(), failing.end(), id) != failing.end();
            before.push_back({ref.task, run, "", fails ? percent : 10, 0});
            if (fails) {
                ends.push_back({++number, ref.task, run, jobs::AttemptResult::Failed, ""});
            } else {
                after.push_back(before.back());
            }
        }
        fixture.now += Milliseconds{100};
        fixture.poll();
        fixture.answer("w1", before);
        fixture.now += Milliseconds{100};
        fixture.poll();
        fixture.answer("w1", after, ends);
        fixture.now += Milliseconds{1500};
    };
    {
        SCOPED_TRACE("when three fail after they have served, the worker gets their next runs");
        fail({ids[0], ids[1], ids[2]}, jobs::readyPercent);
        EXPECT_EQ(fixture.worker("w1").quarantinedUntil, TimePoint{});
        EXPECT_EQ(fixture.startAll().size(), 3U);
    }
    {
        SCOPED_TRACE("when one fails while it starts, and others have served since, too");
        fail({ids[0]}, 40);
        EXPECT_EQ(fixture.startAll().size(), 1U);
        fail({ids[1], ids[2]}, jobs::readyPercent);
        EXPECT_EQ(fixture.startAll().size(), 2U);
        fail({ids[1]}, 40);
        EXPECT_EQ(fixture.worker("w1").quarantinedUntil, TimePoint{});
        EXPECT_EQ(fixture.startAll().size(), 1U);
    }
    {
        SCOPED_TRACE("but not when those of two jobs fail while they start");
        fail({ids[2]}, 40);
        EXPECT_GT(fixture.worker("w1").quarantinedUntil, TimePoint{});
    }
}

// Guards against a second run of a task that ended: an attempt that its worker no longer holds is
// not stalled, however old its last progress is.
TEST(WorkerHealth, DetachedAttemptIsNotStalled)
{
    SCOPED_TRACE("given a task without progress on a worker that responds");
    EngineFixture fixture;
    fixture.submit(submission(firstJob, step(1, 1000)));
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    jobs::Attempt *const attempt = findAttempt(fixture.engine, EngineFixture::ref());
    attempt->percent = 10;
    fixture.now += Milliseconds{2000};
    fixture.worker(attempt->worker.id.text()).answeredAt = fixture.now;
    {
        SCOPED_TRACE("when its worker no longer holds it");
        detach(fixture.engine, EngineFixture::ref(), attempt->worker, fixture.now);
        rescheduleStragglers(fixture.engine, fixture.now);
        {
            SCOPED_TRACE("then it is not stopped");
            EXPECT_TRUE(fixture.take<StopCommand>().empty());
            EXPECT_TRUE(takeStalled(fixture.engine).empty());
        }
    }
}

// Guards against lasting tasks that wait for the end of a long quarantine although no other worker
// is left: they may be away for 9 s at most.
TEST(WorkerHealth, LastingTasksUseQuarantinedWorkersAsLastResort)
{
    for (const StartResult refusal : {StartResult::Started, StartResult::Unhealthy}) {
        SCOPED_TRACE(refusal == StartResult::Started
                             ? "given workers on which all tasks fail for half a minute"
                             : "given workers that refuse all starts for half a minute");
        EngineFixture fixture;
        jobs::StepSpec lasting = step(1, 1000);
        lasting.longRunning = true;
        fixture.submit(submission(firstJob, lasting));
        fixture.submit(submission(test::secondJob, lasting));
        std::map<WorkerIncarnation, std::int64_t> ends;
        TimePoint startedAt = fixture.now;
        Milliseconds longestWait{0};
        int starts = 0;
        for (const TimePoint end = fixture.now + Milliseconds{30'000}; fixture.now < end;) {
            fixture.now += Milliseconds{100};
            std::map<WorkerIncarnation, std::vector<CompletionReport>> failed;
            for (const StartCommand &start : fixture.start()) {
                ++starts;
                longestWait = std::max(longestWait, fixture.now - startedAt);
                startedAt = fixture.now;
                fixture.answerStart(start, refusal);
                if (refusal == StartResult::Started) {
                    const WorkerIncarnation &worker = start.target.worker;
                    failed[worker].push_back({++ends[worker], start.task, start.run,
                                              jobs::AttemptResult::Failed, ""});
                }
            }
            for (const PollCommand &command : fixture.poll()) {
                fixture.answer(command.target.worker.id.text(), {}, failed[command.target.worker]);
            }
            fixture.store();
        }
        EXPECT_LT(std::max(longestWait, fixture.now - startedAt), Milliseconds{9000});
        {
            SCOPED_TRACE("then they are not started on them without end either");
            EXPECT_LT(starts, 100);
        }
    }
}

}  // namespace
}  // namespace poplarstream::engine
