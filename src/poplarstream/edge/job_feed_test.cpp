#include "poplarstream/edge/job_feed.hpp"

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/edge/stored_jobs.hpp"  // for submissionRecord, cancellationRecord
#include "poplarstream/engine/engine_fixture.hpp"  // for submission, step
#include "poplarstream/engine/job_queries.hpp"  // for stateOf
#include "poplarstream/jobs/codec.hpp"  // for encodeProgress
#include "poplarstream/jobs/commands.hpp"  // for makeJob

namespace poplarstream::edge {
namespace {

using engine::test::firstJob;
using engine::test::secondJob;
using engine::test::step;
using engine::test::submission;

constexpr const char *thirdJob = "00000000000000c3";

constexpr int partitions = 3;

// A store that serves one page of each partition.
StorePort storeOf(std::vector<StoredRecord> jobRecords, std::vector<StoredRecord> progress)
{
    StorePort port;
    port.newest = [jobRecords = std::move(jobRecords), progress = std::move(progress)](
                          Log log, int partition, const std::string &, const auto &done) {
        NewestOutcome outcome;
        outcome.isRead = true;
        for (const StoredRecord &record : log == Log::Jobs ? jobRecords : progress) {
            if (log != Log::Jobs || jobPartition(record, partitions) == partition) {
                outcome.records.push_back(record);
            }
        }
        done(outcome);
    };
    port.read = [](const ReadRequest &, const std::function<void(ReadOutcome)> &) {};
    return port;
}

std::string progressOf(const std::string &id, jobs::JobState state, bool hasAttempt)
{
    jobs::Job job = jobs::makeJob(submission(id, step(2, 1000)), timePoint(0), 0);
    job.state = state;
    jobs::Occurrence &occurrence = job.occurrences.at(0);
    for (jobs::Task &task : occurrence.steps[0]) {
        task.isDone = state == jobs::JobState::Completed;
        task.lastRun = 1;
    }
    occurrence.remaining[0] = state == jobs::JobState::Completed ? 0 : 2;
    if (hasAttempt) {
        jobs::Attempt attempt;
        attempt.run = 1;
        attempt.worker = engine::test::EngineFixture::incarnation("w1");
        occurrence.steps[0][0].attempts.push_back(attempt);
    }
    return jobs::encodeProgress(job);
}

// Guards against a recovery that takes too long because jobs that have ended, which are most of
// those in the store, are loaded in full; and against losing their state or what is left of them.
TEST(JobFeed, EndedJobsAreLoadedByTheirState)
{
    SCOPED_TRACE("given a completed job, one with a run that may be left, and one that runs");
    std::vector<StoredRecord> jobRecords;
    for (const char *const id : {firstJob, secondJob, thirdJob}) {
        jobRecords.push_back(submissionRecord(submission(id, step(2, 1000))));
    }
    jobRecords.push_back(cancellationRecord(jobs::JobId(firstJob)));
    const std::vector<StoredRecord> progress = {
            {firstJob, progressOf(firstJob, jobs::JobState::Completed, false), 0},
            {secondJob, progressOf(secondJob, jobs::JobState::Completed, true), 1},
            {thirdJob, progressOf(thirdJob, jobs::JobState::Running, true), 2}};
    boost::asio::io_context io;
    Runtime runtime{io, {}, storeOf(jobRecords, progress), {}, {}, {}, {}};
    runtime.settings.jobPartitions = partitions;
    engine::Engine engine;
    bool isLoaded = false;
    JobFeedEvents events;
    events.otherRecord = [](const StoredRecord &) {};
    events.loaded = [&isLoaded] { isLoaded = true; };
    events.changed = [] {};
    const JobFeed feed(runtime, {}, engine, timePoint(0), std::move(events));
    io.run();
    {
        SCOPED_TRACE("then the state of each is known");
        ASSERT_TRUE(isLoaded);
        const engine::QueueId queue("proofs");
        EXPECT_EQ(engine::stateOf(engine, queue, jobs::JobId(firstJob)), jobs::JobState::Completed);
        EXPECT_EQ(engine::stateOf(engine, queue, jobs::JobId(secondJob)),
                  jobs::JobState::Completed);
        EXPECT_EQ(engine::stateOf(engine, queue, jobs::JobId(thirdJob)), jobs::JobState::Running);
        EXPECT_FALSE(engine::stateOf(engine, engine::QueueId("other"), jobs::JobId(firstJob)));
    }
    {
        SCOPED_TRACE("and only the job of which nothing is left is loaded by its state alone");
        EXPECT_EQ(engine.active.size(), 2U);
        EXPECT_TRUE(engine.jobs.at(jobs::JobId(firstJob)).submission.spec.steps.empty());
        const auto &worker = engine.workers.at(engine::test::EngineFixture::incarnation("w1"));
        EXPECT_EQ(worker.attempts.size(), 2U);
    }
    {
        SCOPED_TRACE("and a repeated submission of the ended job starts nothing");
        engine::submitJob(engine, submission(firstJob, step(2, 1000)), {timePoint(0), 0});
        EXPECT_EQ(engine.active.size(), 2U);
    }
}

// Guards against a job that two owners run: the owner of a shard loads the jobs of its partitions
// only, and their progress from the shard's partition of the progress log.
TEST(JobFeed, OwnersLoadTheJobsOfTheirShard)
{
    SCOPED_TRACE("given many jobs in as many partitions as there are shards");
    std::vector<StoredRecord> jobRecords;
    for (int i = 0; i < 60; ++i) {
        const std::string id = fmt::format("{:016x}", i * 7919);
        jobRecords.push_back(submissionRecord(submission(id, step(1, 1000))));
    }
    std::map<jobs::JobId, int> owners;
    for (int shard = 0; shard < partitions; ++shard) {
        boost::asio::io_context io;
        Runtime runtime{io, {}, storeOf(jobRecords, {}), {}, {}, {}, {}};
        runtime.settings.jobPartitions = partitions;
        std::vector<int> progressPartitions;
        runtime.store.newest = [newest = runtime.store.newest, &progressPartitions](
                                       Log log, int partition, const std::string &afterKey,
                                       const auto &done) {
            if (log == Log::Progress) {
                progressPartitions.push_back(partition);
            }
            newest(log, partition, afterKey, done);
        };
        engine::Engine engine;
        bool isLoaded = false;
        JobFeedEvents events;
        events.otherRecord = [](const StoredRecord &) {};
        events.loaded = [&isLoaded] { isLoaded = true; };
        events.changed = [] {};
        const JobFeed feed(runtime, {shard, partitions}, engine, timePoint(0), std::move(events));
        io.run();
        ASSERT_TRUE(isLoaded);
        EXPECT_EQ(progressPartitions, std::vector<int>{shard});
        for (const auto &[id, job] : engine.jobs) {
            ++owners[id];
            EXPECT_EQ(jobPartition(id, partitions), shard);
        }
    }
    {
        SCOPED_TRACE("then each job has one owner");
        EXPECT_EQ(owners.size(), jobRecords.size());
        for (const auto &[id, count] : owners) {
            EXPECT_EQ(count, 1) << id.text();
        }
    }
}

// Guards against a cancellation that overtakes its submission in another partition, and against a
// job log of which one partition carries everything: appends to it are carried out one by one.
TEST(JobFeed, RecordsOfAJobShareAPartition)
{
    std::map<int, int> jobsByPartition;
    for (int i = 0; i < 400; ++i) {
        const jobs::JobId id(fmt::format("{:016x}", i * 7919));
        const int partition = jobPartition(id, maxJobPartitions);
        ++jobsByPartition[partition];
        EXPECT_EQ(jobPartition(cancellationRecord(id), maxJobPartitions), partition);
        EXPECT_EQ(
                jobPartition(submissionRecord(submission(id.text(), step(1, 1))), maxJobPartitions),
                partition);
        for (const StoredRecord &record : tombstones(id)) {
            EXPECT_EQ(jobPartition(record, maxJobPartitions), partition);
        }
    }
    ASSERT_EQ(jobsByPartition.size(), static_cast<std::size_t>(maxJobPartitions));
    for (const auto &[partition, count] : jobsByPartition) {
        EXPECT_GT(count, 400 / maxJobPartitions / 2) << partition;
    }
}

}  // namespace
}  // namespace poplarstream::edge
