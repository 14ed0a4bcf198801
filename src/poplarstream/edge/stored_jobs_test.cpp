#include "poplarstream/edge/stored_jobs.hpp"

#include <string>  // for string
#include <vector>  // for vector

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_TRUE

#include "poplarstream/edge/session_metrics.hpp"  // for sessionMetrics
#include "poplarstream/engine/engine_fixture.hpp"  // for EngineFixture, submission, step
#include "poplarstream/engine/job_queries.hpp"  // for stateOf, waitingJobs

namespace poplarstream::edge {
namespace {

using engine::test::EngineFixture;
using engine::test::firstJob;
using engine::test::secondJob;
using engine::test::step;
using engine::test::submission;

// Guards against a job that runs again without a line in the log because its stored progress could
// not be read in full.
TEST(StoredJobs, UnreadableProgressIsLogged)
{
    SCOPED_TRACE("given a job with malformed progress, and one with a part of its progress only");
    EngineFixture fixture;
    fixture.submit(submission(firstJob, step(2, 1000)));
    fixture.submit(submission(secondJob, step(2, 1000)));
    const std::vector<StoredRecord> malformed = {
            {firstJob, R"({"state":"running","begun":true,"runs":[[0,0,[[1]]]]})", 0}};
    const std::vector<StoredRecord> withoutHead = {{std::string(secondJob) + ".0.0.0", "[1,0]", 1}};
    ::testing::internal::CaptureStdout();
    adoptStoredProgress(fixture.engine, malformed, fixture.now, fixture.now);
    adoptStoredProgress(fixture.engine, withoutHead, fixture.now, fixture.now);
    const std::string log = ::testing::internal::GetCapturedStdout();
    {
        SCOPED_TRACE("then nothing of either starts");
        EXPECT_TRUE(fixture.startAll().empty());
    }
    {
        SCOPED_TRACE("and the log and the metrics say so");
        for (const char *const id : {firstJob, secondJob}) {
            EXPECT_NE(log.find(fmt::format("752 job-held job={}", id)), std::string::npos) << log;
        }
        EXPECT_NE(sessionMetrics(fixture.engine, 0, 0, 0, fixture.now)
                          .find("poplar_jobs_held{shard=\"0\"} 2\n"),
                  std::string::npos);
    }
}

// Guards against a job that another account cancels or takes over by its id, also by a cancellation
// that is read before the submission.
TEST(StoredJobs, JobsBelongToTheirAccount)
{
    const jobs::JobId id(firstJob);
    EngineFixture fixture;
    const auto apply = [&fixture](const StoredRecord &record) {
        applyJobRecord(fixture.engine, record, {fixture.now, 0});
    };
    const auto submitFor = [&apply](const char *account) {
        jobs::Submission submitted = submission(firstJob, step(2, 1000));
        submitted.account = AccountId(account);
        apply(submissionRecord(submitted));
    };
    const auto stateFor = [&](const char *account) {
        return engine::stateOf(fixture.engine, engine::QueueId("proofs"), id, AccountId(account));
    };
    const auto cancelByOthers = [&] {
        apply(cancellationRecord(id, {AccountId("b"), {}}));
        apply(cancellationRecord(id));
    };
    cancelByOthers();
    submitFor("a");
    cancelByOthers();
    submitFor("b");
    EXPECT_EQ(stateFor("a"), jobs::JobState::Queued);
    EXPECT_FALSE(stateFor("b"));
    apply(cancellationRecord(id, {AccountId("a"), {}}));
    EXPECT_EQ(stateFor("a"), jobs::JobState::Cancelled);
    {
        SCOPED_TRACE("its own account may cancel it before its submission is read");
        fixture = EngineFixture();
        apply(cancellationRecord(id, {AccountId("a"), {}}));
        submitFor("a");
        EXPECT_EQ(stateFor("a"), jobs::JobState::Cancelled);
        EXPECT_TRUE(fixture.engine.cancelledEarly.empty());
    }
    for (const char *value : {"cancelled", "cancelled by b"}) {
        SCOPED_TRACE("any caller, and a record of an earlier version, cancels one without account");
        fixture = EngineFixture();
        submitFor("");
        apply({std::string(firstJob) + "!", value, 0});
        EXPECT_EQ(stateFor("a"), jobs::JobState::Cancelled);
    }
}

// Guards against a job of an account that nobody can cancel once its queue needs no key any more,
// and against callers of a public queue who cancel jobs of other queues.
TEST(StoredJobs, CallersOfAPublicQueueCancelItsJobs)
{
    const jobs::JobId id(firstJob);
    const engine::QueueId proofs("proofs");
    const auto stateAfter = [&](bool isPublic, const StoredRecord &cancellation) {
        EngineFixture fixture;
        fixture.engine.queues[proofs].isPublic = isPublic;
        jobs::Submission submitted = submission(firstJob, step(2, 1000));
        submitted.account = AccountId("a");
        applyJobRecord(fixture.engine, submissionRecord(submitted), {fixture.now, 0});
        applyJobRecord(fixture.engine, cancellation, {fixture.now, 0});
        return engine::stateOf(fixture.engine, proofs, id, AccountId("a"));
    };
    const auto through = [&id](const char *queue, const char *account = "") {
        return cancellationRecord(id, {AccountId(account), engine::QueueId(queue)});
    };
    EXPECT_EQ(stateAfter(true, through("proofs")), jobs::JobState::Cancelled);
    EXPECT_EQ(stateAfter(false, through("proofs")), jobs::JobState::Queued) << "not public now";
    EXPECT_EQ(stateAfter(true, through("plates")), jobs::JobState::Queued) << "another queue";
    EXPECT_EQ(stateAfter(true, through("")), jobs::JobState::Queued) << "of an earlier version";
    EXPECT_EQ(stateAfter(true, through("proofs", "b")), jobs::JobState::Queued);
    EXPECT_EQ(stateAfter(false, through("proofs", "a")), jobs::JobState::Cancelled);
}

}  // namespace
}  // namespace poplarstream::edge
