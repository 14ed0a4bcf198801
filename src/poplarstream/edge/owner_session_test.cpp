#include "poplarstream/edge/owner_session.hpp"

#include <algorithm>  // for count
#include <string>  // for string

#include <boost/asio/post.hpp>  // for post
#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_NE

#include "poplarstream/edge/stored_jobs.hpp"  // for submissionRecord
#include "poplarstream/engine/engine_fixture.hpp"  // for submission, step
#include "poplarstream/jobs/codec.hpp"  // for encodeProgress
#include "poplarstream/jobs/commands.hpp"  // for makeJob

namespace poplarstream::edge {
namespace {

using engine::test::firstJob;
using engine::test::secondJob;
using engine::test::step;
using engine::test::submission;
using Kind = ownership::OwnershipRecord::Kind;

constexpr int taskCount = 3;

// Progress of a running job with a run of each task: the first on one worker, the others on
// another.
std::string progressWithRuns(const std::string &id)
{
    jobs::Job job = jobs::makeJob(submission(id, step(taskCount, 1000)), timePoint(0), 0);
    job.state = jobs::JobState::Running;
    int index = 0;
    for (jobs::Task &task : job.occurrences.at(0).steps[0]) {
        task.lastRun = 1;
        jobs::Attempt attempt;
        attempt.run = 1;
        attempt.mayRun = true;
        attempt.worker = engine::test::EngineFixture::incarnation(index++ == 0 ? "w1" : "w2");
        task.attempts.push_back(std::move(attempt));
    }
    return jobs::encodeProgress(job);
}

// An owner session over a store with one job that runs and the progress of one that is not in the
// job log.
struct SessionOverStore
{
    boost::asio::io_context io;
    Runtime runtime{io, {}, {}, {}, {}, {}, {}};
    std::unique_ptr<OwnerSession> session;

    SessionOverStore()
    {
        runtime.settings.jobPartitions = 1;
        runtime.store.append = [this](const AppendRequest &, auto done) {
            boost::asio::post(io, [done] { done({AppendResult::Stored, 0}); });
        };
        runtime.store.read = [](const ReadRequest &, const auto &) {};
        runtime.store.newest = [this](Log log, int, const std::string &, auto done) {
            NewestOutcome outcome;
            outcome.isRead = true;
            if (log == Log::Jobs) {
                outcome.records = {submissionRecord(submission(firstJob, step(taskCount, 1000)))};
            } else if (log == Log::Progress) {
                outcome.records = {{firstJob, progressWithRuns(firstJob), 0},
                                   {secondJob, progressWithRuns(secondJob), 1}};
            }
            boost::asio::post(io, [done, outcome] { done(outcome); });
        };
        runtime.machines.list = [](const std::string &, const auto &) {};
        runtime.workers.poll = [](const engine::PollCommand &, const auto &) {};
    }

    // Begins a session and runs it until it has loaded; returns what it logged.
    std::string logOf(const PredecessorState &predecessor)
    {
        OwnerSessionHooks hooks;
        hooks.isOwner = [] { return true; };
        hooks.mayHaveResigned = [] { return false; };
        hooks.mayIssueCommands = [] { return true; };
        hooks.confirmedAt = [] { return steadyNow(); };
        hooks.confirm = [](const auto &, const auto &) {};
        hooks.superseded = [] {};
        hooks.hasCarriedOut = [](int, std::int64_t) { return false; };
        hooks.carriedOut = [](std::int64_t) {};
        ::testing::internal::CaptureStdout();
        session = std::make_unique<OwnerSession>(runtime, ownership::Shard{}, predecessor, hooks);
        while (!session->isLoaded()) {
            io.run_one();
        }
        return ::testing::internal::GetCapturedStdout();
    }
};

PredecessorState stateAfter(Kind kind)
{
    PredecessorState state;
    state.epoch = 8;
    state.owners.predecessor.emplace();
    state.owners.predecessor->kind = kind;
    state.owners.predecessor->epoch = 7;
    state.owners.predecessor->owner = EntryHostId("edge-0");
    state.owners.predecessor->incarnation = "abc";
    return state;
}

// Guards against tasks that run twice after a takeover while no line tells for how long the new
// owner takes silent workers for renewed by an earlier one, and what that rests on.
TEST(OwnerSession, TakeoverIsLogged)
{
    {
        SCOPED_TRACE("when the predecessor has not resigned, its polls are waited for");
        SessionOverStore after;
        const std::string text = after.logOf(stateAfter(Kind::Renewal));
        EXPECT_NE(text.find(" info 747 takeover-begun epoch=8 shard=0 predecessor=edge-0 "
                            "predecessor_epoch=7 predecessor_incarnation=abc resigned=no "
                            "wait_ms=8000\n"),
                  std::string::npos)
                << text;
    }
    {
        SCOPED_TRACE("when it has resigned, they are not");
        SessionOverStore after;
        const std::string text = after.logOf(stateAfter(Kind::Resignation));
        EXPECT_NE(text.find(" predecessor_incarnation=abc resigned=yes wait_ms=0\n"),
                  std::string::npos)
                << text;
    }
    {
        SCOPED_TRACE("when there was none, nothing is claimed about it");
        SessionOverStore after;
        PredecessorState none;
        none.epoch = 1;
        const std::string text = after.logOf(none);
        EXPECT_NE(text.find(" 747 takeover-begun epoch=1 shard=0 predecessor=- "
                            "predecessor_epoch=- predecessor_incarnation=- resigned=- "
                            "wait_ms=0\n"),
                  std::string::npos)
                << text;
    }
}

// Guards against a second run of a task whose first run the new owner may or may not have read: the
// log says how many it has read, and how much of the progress belongs to no job.
TEST(OwnerSession, LoadedRunsAreCounted)
{
    SCOPED_TRACE("given a job with 3 runs on 2 workers, and progress without its job");
    SessionOverStore over;
    const std::string text = over.logOf(stateAfter(Kind::Renewal));
    {
        SCOPED_TRACE("then 702 gives the numbers after the fields that it had before");
        EXPECT_NE(text.find(" info 702 owner-loaded epoch=8 jobs=1 active=1 shard=0 adopted=3 "
                            "adopted_workers=2 without_job=1\n"),
                  std::string::npos)
                << text;
    }
    {
        SCOPED_TRACE("and the metrics give them, and the releases by their causes");
        const std::string metrics = over.session->metrics();
        for (const char *const line :
             {"poplar_runs_adopted{shard=\"0\"} 3\n",
              "poplar_progress_without_job{shard=\"0\"} 1\n",
              "poplar_tasks_released_total{shard=\"0\",cause=\"not-listed\"} 0\n",
              "poplar_tasks_released_total{shard=\"0\",cause=\"worker-ended\"} 0\n"}) {
            EXPECT_NE(metrics.find(line), std::string::npos) << line << metrics;
        }
    }
}

}  // namespace
}  // namespace poplarstream::edge
