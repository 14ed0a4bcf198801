#include "poplarstream/jobs/codec.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for check

#include "poplarstream/jobs/commands.hpp"  // for makeJob, recordCompletion
#include "poplarstream/jobs/queries.hpp"  // for findTask

namespace poplarstream::jobs {
namespace {

constexpr TimePoint now = timePoint(5'000'000);
constexpr std::int64_t unixNow = 1'800'000'000'000;

StepSpec stepOf(int count)
{
    StepSpec step;
    step.count = count;
    step.need = {1500, 256, 1};
    step.estimate = Milliseconds{700};
    return step;
}

Submission submission(std::vector<StepSpec> steps)
{
    Submission submission;
    submission.id = JobId("00000000000000a1");
    submission.policy = {QueueId("q"), ServiceId("s"), 1, 3, 1.6, Milliseconds{600}};
    submission.spec.payload = "text with \"quotes\" and \n";
    submission.spec.steps = std::move(steps);
    submission.acceptedUnixMs = unixNow;
    return submission;
}

// Guards against a submission that changes when it is stored and read.
TEST(JobCodec, SubmissionRoundTrip)
{
    StepSpec step = stepOf(3);
    step.after = {};
    step.checkpointing = step.gang = step.sameRack = true;
    step.requiredLabel = "gpu";
    step.affinityRack = "r1";
    step.antiAffinity = 2;
    step.image = "img";
    step.target = Milliseconds{40};
    step.mayMiss = 1;
    StepSpec second = stepOf(2);
    second.after = {0};
    second.speculative = second.longRunning = second.fills = true;
    Submission before = submission({step, second});
    before.spec.repeatCount = 4;
    before.spec.firstRunUnixMs = unixNow + 10;
    before.spec.intervalMs = 500;
    const Result<Submission> after = decodeSubmission(encodeSubmission(before));
    ASSERT_TRUE(after);
    EXPECT_EQ(encodeSubmission(after.value()), encodeSubmission(before));
    EXPECT_EQ(after.value().spec.payload, before.spec.payload);
    EXPECT_TRUE(after.value().spec.steps[0].gang);
    EXPECT_FALSE(after.value().spec.steps[0].fills);
    EXPECT_TRUE(after.value().spec.steps[1].fills);
    EXPECT_EQ(after.value().spec.steps[1].after, std::vector<int>{0});
}

// Guards against progress that a new owner reads differently than the previous one wrote it.
TEST(JobCodec, ProgressRoundTrip)
{
    EXPECT_TRUE(rc::check("a successor reads what the owner wrote", [] {
        const int count = *rc::gen::inRange(1, 6);
        Job before = makeJob(submission({stepOf(count), stepOf(2)}), now, unixNow);
        for (int index = 0; index < count; ++index) {
            Task &task = *findTask(before, {before.submission.id, 0, 0, index});
            task.lastRun = *rc::gen::inRange(0, 4);
            if (task.lastRun > 0) {
                Attempt attempt;
                attempt.run = task.lastRun;
                attempt.worker = {WorkerId("w" + std::to_string(index)), 17};
                task.attempts.push_back(attempt);
                if (*rc::gen::arbitrary<bool>()) {
                    const auto result =
                            *rc::gen::element(AttemptResult::Done, AttemptResult::Failed);
                    recordCompletion(before, {before.submission.id, 0, 0, index}, task.lastRun,
                                     result, "cp", now);
                }
            }
        }
        Job after = makeJob(submission({stepOf(count), stepOf(2)}), now, unixNow);
        RC_ASSERT(applyProgress(after, encodeProgress(before)));
        RC_ASSERT(encodeProgress(after) == encodeProgress(before));
        RC_ASSERT(after.state == before.state);
        RC_ASSERT(after.occurrences.at(0).remaining == before.occurrences.at(0).remaining);
    }));
}

// Guards against applying part of a malformed record.
TEST(JobCodec, UnreadableProgressChangesNothing)
{
    Job job = makeJob(submission({stepOf(2)}), now, unixNow);
    const std::string before = encodeProgress(job);
    for (const char *text : {"", "{}", "[1]", "{\"state\":\"odd\",\"begun\":true,\"runs\":[]}",
                             "{\"state\":\"running\",\"begun\":true,\"runs\":[[0,0,[1,1]]]}",
                             "{\"state\":\"running\",\"begun\":true,\"runs\":[[0,0,[[[1]]]]]}"}) {
        EXPECT_FALSE(applyProgress(job, text)) << text;
        EXPECT_EQ(encodeProgress(job), before) << text;
    }
    EXPECT_FALSE(decodeSubmission("{\"id\":\"x\"}"));
}

// Guards against occurrences that start early or are skipped after a pause, and against jobs that
// complete before their last occurrence.
TEST(JobCommands, Occurrences)
{
    Submission timed = submission({stepOf(1)});
    timed.spec.repeatCount = 3;
    timed.spec.firstRunUnixMs = unixNow + 1000;
    timed.spec.intervalMs = 500;
    Job job = makeJob(timed, now, unixNow);
    EXPECT_TRUE(job.occurrences.empty());
    EXPECT_FALSE(openDueOccurrences(job, now + Milliseconds{999}, unixNow + 999));
    EXPECT_TRUE(openDueOccurrences(job, now + Milliseconds{1600}, unixNow + 1600));
    ASSERT_EQ(job.occurrences.size(), 2U);
    EXPECT_EQ(job.occurrences.at(1).dueAt, now + Milliseconds{1500});
    for (int number = 0; number < 2; ++number) {
        Task &task = *findTask(job, {timed.id, number, 0, 0});
        task.attempts.push_back(Attempt{.run = 1});
        recordCompletion(job, {timed.id, number, 0, 0}, 1, AttemptResult::Done, "", now);
    }
    EXPECT_EQ(job.state, JobState::Queued) << "the third isn't due yet";
    EXPECT_TRUE(openDueOccurrences(job, now + Milliseconds{9000}, unixNow + 9000));
    EXPECT_EQ(job.occurrences.size(), 3U);
}

// Guards against restarting the other members of a gang after one of them is done.
TEST(JobCommands, DoneMemberFinishesGang)
{
    StepSpec gang = stepOf(3);
    gang.gang = true;
    Job job = makeJob(submission({gang}), now, unixNow);
    for (int index = 0; index < 3; ++index) {
        findTask(job, {job.submission.id, 0, 0, index})->attempts.push_back(Attempt{.run = 1});
    }
    const CompletionEffect effect =
            recordCompletion(job, {job.submission.id, 0, 0, 1}, 1, AttemptResult::Done, "", now);
    EXPECT_TRUE(effect.jobEnded);
    EXPECT_EQ(job.state, JobState::Completed);
}

// Guards against giving up an innocent task that was thrice beside the cause of a crash, and
// against endless starts of a task that is never more than one of many possible causes.
TEST(JobCommands, UnlikelyCauseIsGivenUpLater)
{
    Job job = makeJob(submission({stepOf(1)}), now, unixNow);
    const TaskRef ref{job.submission.id, 0, 0, 0};
    findTask(job, ref)->lastRun = 4;
    for (int crashes = 0; crashes < 4; ++crashes) {
        EXPECT_EQ(recordCrash(job, ref, {150, 200}, now), CrashEffect::None)
                << "crashes: " << crashes;
    }
    Job other = makeJob(submission({stepOf(1)}), now, unixNow);
    ASSERT_TRUE(applyProgress(other, encodeProgress(job)));
    EXPECT_EQ(findTask(other, ref)->crashes, 4);
    EXPECT_EQ(findTask(other, ref)->suspicion, 150);
    EXPECT_EQ(recordCrash(job, ref, {150, 200}, now), CrashEffect::JobEnded);
    EXPECT_EQ(job.state, JobState::Failed);
}

// Guards against a task that is never likely enough for its crashes to count, and starts for ever.
TEST(JobCommands, FifthCrashEndsTheTaskInAnyCase)
{
    Job job = makeJob(submission({stepOf(1)}), now, unixNow);
    const TaskRef ref{job.submission.id, 0, 0, 0};
    for (int crashes = 0; crashes < 4; ++crashes) {
        EXPECT_EQ(recordCrash(job, ref, {20, 20}, now), CrashEffect::None)
                << "crashes: " << crashes;
    }
    EXPECT_EQ(recordCrash(job, ref, {20, 20}, now), CrashEffect::JobEnded);
    EXPECT_EQ(job.state, JobState::Failed);
    Job innocent = makeJob(submission({stepOf(1)}), now, unixNow);
    for (int crashes = 0; crashes < 9; ++crashes) {
        EXPECT_EQ(recordCrash(innocent, ref, {3, 3}, now), CrashEffect::None)
                << "crashes: " << crashes;
    }
}

// Guards against progress of an earlier release, which has no counts of crashes.
TEST(JobCodec, ProgressWithoutCrashes)
{
    Job job = makeJob(submission({stepOf(1)}), now, unixNow);
    const TaskRef ref{job.submission.id, 0, 0, 0};
    ASSERT_TRUE(applyProgress(
            job,
            R"({"state":"running","begun":true,"runs":[[0,0,[[[0,2,1,"cp",[[2,"w1",17]]]]]]]})"));
    EXPECT_EQ(findTask(job, ref)->failures, 1);
    EXPECT_EQ(findTask(job, ref)->crashes, 0);
    EXPECT_EQ(findTask(job, ref)->attempts.size(), 1U);
}

// Guards against counting a completion twice or counting one of an unknown run.
TEST(JobCommands, CompletionsCountOnce)
{
    Job job = makeJob(submission({stepOf(2)}), now, unixNow);
    const TaskRef ref{job.submission.id, 0, 0, 0};
    EXPECT_FALSE(recordCompletion(job, ref, 1, AttemptResult::Done, "", now).isKnown);
    findTask(job, ref)->attempts.push_back(Attempt{.run = 1});
    EXPECT_TRUE(recordCompletion(job, ref, 1, AttemptResult::Failed, "", now).isKnown);
    EXPECT_FALSE(recordCompletion(job, ref, 1, AttemptResult::Failed, "", now).isKnown);
    EXPECT_EQ(findTask(job, ref)->failures, 1);
    EXPECT_FALSE(
            recordCompletion(job, {job.submission.id, 0, 7, 0}, 1, AttemptResult::Done, "", now)
                    .isKnown);
}

}  // namespace
}  // namespace poplarstream::jobs
