#include "poplarstream/edge/job_feed.hpp"

#include <algorithm>  // for any_of
#include <map>  // for map
#include <utility>  // for exchange

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/edge/stored_jobs.hpp"  // for submissionRecord, cancellationRecord
#include "poplarstream/engine/engine_fixture.hpp"  // for submission, step
#include "poplarstream/engine/job_events.hpp"  // for tickJobs
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

// A store whose reads of the job log are answered by the test, one partition at a time.
struct SlowStore
{
    std::map<int, std::function<void(NewestOutcome)>> snapshotReads;
    std::map<int, std::function<void(ReadOutcome)>> reads;
    std::vector<StoredRecord> jobRecords;

    StorePort port(std::vector<StoredRecord> progress)
    {
        StorePort made;
        made.newest = [this, progress = std::move(progress)](Log log, int partition,
                                                             const std::string &, auto done) {
            if (log == Log::Jobs) {
                snapshotReads[partition] = std::move(done);
                return;
            }
            NewestOutcome outcome;
            outcome.isRead = true;
            outcome.records = progress;
            done(outcome);
        };
        made.read = [this](const ReadRequest &request, auto done) {
            if (request.log == Log::Jobs) {
                reads[request.partition] = std::move(done);
            }
        };
        return made;
    }

    void answerSnapshot(int partition)
    {
        NewestOutcome outcome;
        outcome.isRead = true;
        for (const StoredRecord &record : jobRecords) {
            if (jobPartition(record, partitions) == partition) {
                outcome.records.push_back(record);
            }
        }
        std::exchange(snapshotReads.at(partition), {})(outcome);
    }

    void forgetHistory(int partition)
    {
        ReadOutcome outcome;
        outcome.result = ReadResult::Expired;
        std::exchange(reads.at(partition), {})(outcome);
    }

    void appendRecord(const StoredRecord &record)
    {
        ReadOutcome outcome;
        outcome.result = ReadResult::Records;
        outcome.records = {record};
        std::exchange(reads.at(jobPartition(record, partitions)), {})(outcome);
    }
};

// A feed of the only shard and the engine that it loads into.
struct LoadingFeed
{
    boost::asio::io_context io;
    Runtime runtime{io, {}, {}, {}, {}, {}, {}};
    engine::Engine engine;
    bool isLoaded = false;
    std::unique_ptr<JobFeed> feed;

    LoadingFeed(SlowStore &store, std::vector<StoredRecord> progress)
    {
        runtime.store = store.port(std::move(progress));
        runtime.settings.jobPartitions = partitions;
        JobFeedEvents events;
        events.otherRecord = [](const StoredRecord &) {};
        events.loaded = [this] { isLoaded = true; };
        events.changed = [] {};
        feed = std::make_unique<JobFeed>(runtime, ownership::Shard{}, engine, timePoint(0),
                                         std::move(events));
        runUntil([&store] { return store.snapshotReads.size() == partitions; });
    }

    void runUntil(const std::function<bool()> &isReached)
    {
        io.restart();
        while (!isReached()) {
            io.run_one();
        }
    }

    std::optional<jobs::JobState> stateOf(const std::string &id) const
    {
        return engine::stateOf(engine, engine::QueueId("proofs"), jobs::JobId(id));
    }
};

// One id for each partition of the job log.
std::vector<std::string> idsByPartition()
{
    std::vector<std::string> ids(partitions);
    for (int number = 0;
         std::any_of(ids.begin(), ids.end(), [](const std::string &id) { return id.empty(); });
         ++number) {
        const std::string id = fmt::format("{:016x}", number);
        ids[static_cast<std::size_t>(jobPartition(jobs::JobId(id), partitions))] = id;
    }
    return ids;
}

// Guards against completed jobs that run again: a new owner must not take over before it has read
// each partition, however often the store makes it read another one anew.
TEST(JobFeed, EachPartitionIsReadBeforeTheTakeover)
{
    SCOPED_TRACE("given a completed job in each partition of the job log");
    std::vector<StoredRecord> jobRecords;
    std::vector<StoredRecord> progress;
    const std::vector<std::string> ids = idsByPartition();
    for (const std::string &id : ids) {
        jobRecords.push_back(submissionRecord(submission(id, step(2, 1000))));
        progress.push_back({id, progressOf(id, jobs::JobState::Completed, false), 0});
    }
    for (int awayCount = 1; awayCount < partitions; ++awayCount) {
        SlowStore store;
        store.jobRecords = jobRecords;
        LoadingFeed loading(store, progress);
        {
            SCOPED_TRACE(fmt::format("when {} partitions are away and the store forgets the "
                                     "history of the others several times",
                                     awayCount));
            for (int partition = awayCount; partition < partitions; ++partition) {
                store.answerSnapshot(partition);
                for (int time = 0; time < 2 * partitions; ++time) {
                    store.forgetHistory(partition);
                    store.answerSnapshot(partition);
                }
            }
            EXPECT_FALSE(loading.isLoaded);
        }
        {
            SCOPED_TRACE("then the feed has loaded once the others have been read");
            for (int partition = 0; partition < awayCount; ++partition) {
                EXPECT_FALSE(loading.isLoaded);
                store.answerSnapshot(partition);
            }
            EXPECT_TRUE(loading.isLoaded);
        }
        {
            SCOPED_TRACE("and each job is known as completed, with nothing to run");
            for (const std::string &id : ids) {
                EXPECT_EQ(loading.stateOf(id), jobs::JobState::Completed) << id;
            }
            EXPECT_TRUE(loading.engine.active.empty());
        }
    }
}

// Guards against a completed job that each account sees after a takeover, since only its state was
// loaded.
TEST(JobFeed, CompletedJobKeepsItsAccount)
{
    SlowStore store;
    jobs::Submission submitted = submission(firstJob, step(2, 1000));
    submitted.account = AccountId("a");
    store.jobRecords = {submissionRecord(submitted)};
    LoadingFeed loading(store,
                        {{firstJob, progressOf(firstJob, jobs::JobState::Completed, false), 0}});
    for (int partition = 0; partition < partitions; ++partition) {
        store.answerSnapshot(partition);
    }
    const auto stateFor = [&loading](const char *account) {
        return engine::stateOf(loading.engine, engine::QueueId("proofs"), jobs::JobId(firstJob),
                               AccountId(account));
    };
    EXPECT_EQ(stateFor("a"), jobs::JobState::Completed);
    EXPECT_FALSE(stateFor("b"));
}

// Guards against a second run of a job whose submission is read later than its stored progress.
TEST(JobFeed, ProgressWithoutAJobIsKeptForIt)
{
    SCOPED_TRACE("given stored progress of a completed job whose submission is not in the log");
    SlowStore store;
    LoadingFeed loading(store,
                        {{firstJob, progressOf(firstJob, jobs::JobState::Completed, false), 0}});
    for (int partition = 0; partition < partitions; ++partition) {
        store.answerSnapshot(partition);
    }
    ASSERT_TRUE(loading.isLoaded);
    EXPECT_FALSE(loading.stateOf(firstJob));
    {
        SCOPED_TRACE("when the submission is read");
        store.appendRecord(submissionRecord(submission(firstJob, step(2, 1000))));
        EXPECT_EQ(loading.stateOf(firstJob), jobs::JobState::Completed);
    }
}

// Guards against a late submission that leaves no line: the runs that its job had before would look
// like runs that the owner had never known.
TEST(JobFeed, LateJobIsLogged)
{
    SCOPED_TRACE("given stored progress with a run, of a job whose submission is not in the log");
    SlowStore store;
    LoadingFeed loading(store,
                        {{firstJob, progressOf(firstJob, jobs::JobState::Running, true), 0}});
    for (int partition = 0; partition < partitions; ++partition) {
        store.answerSnapshot(partition);
    }
    ASSERT_TRUE(loading.isLoaded);
    EXPECT_EQ(loading.feed->progressWithoutJob(), 1U);
    EXPECT_EQ(loading.engine.runsAdopted, 0U);
    {
        SCOPED_TRACE("when the submission is read, then its job and its run are named");
        ::testing::internal::CaptureStdout();
        store.appendRecord(submissionRecord(submission(firstJob, step(2, 1000))));
        const std::string text = ::testing::internal::GetCapturedStdout();
        EXPECT_NE(text.find(fmt::format(" warning 748 late-job job={} runs=1\n", firstJob)),
                  std::string::npos)
                << text;
        EXPECT_EQ(loading.feed->progressWithoutJob(), 0U);
        EXPECT_EQ(loading.engine.runsAdopted, 1U);
    }
}

// A feed that has loaded a completed job and whose owner has forgotten it since.
std::unique_ptr<LoadingFeed> feedWithForgottenJob(SlowStore &store)
{
    store.jobRecords = {submissionRecord(submission(firstJob, step(2, 1000)))};
    auto loading = std::make_unique<LoadingFeed>(
            store, std::vector<StoredRecord>{
                           {firstJob, progressOf(firstJob, jobs::JobState::Completed, false), 0}});
    for (int partition = 0; partition < partitions; ++partition) {
        store.answerSnapshot(partition);
    }
    engine::Engine &engine = loading->engine;
    engine::tickJobs(engine, {steadyNow() + engine.limits.statusRetention * 3, 0});
    return loading;
}

// Guards against a second run of a job that is being deleted: its submission may be read again
// before the deletion is stored.
TEST(JobFeed, JobsBeingDeletedDoNotReturn)
{
    SCOPED_TRACE("given a completed job that its owner has forgotten");
    const int partition = jobPartition(jobs::JobId(firstJob), partitions);
    {
        SCOPED_TRACE("when the store forgets its history before the deletion is stored");
        SlowStore store;
        const auto loading = feedWithForgottenJob(store);
        ASSERT_FALSE(loading->stateOf(firstJob));
        store.forgetHistory(partition);
        store.answerSnapshot(partition);
        {
            SCOPED_TRACE("then the job does not return");
            EXPECT_FALSE(loading->stateOf(firstJob));
            EXPECT_TRUE(loading->engine.active.empty());
        }
        {
            SCOPED_TRACE("but its id can be used again once the deletion has been read");
            store.appendRecord({firstJob, {}, 0});
            loading->runUntil([&] { return store.reads[partition] != nullptr; });
            store.appendRecord(store.jobRecords[0]);
            EXPECT_EQ(loading->stateOf(firstJob), jobs::JobState::Queued);
        }
    }
    {
        SCOPED_TRACE("when a snapshot without the job is read, its id can be used again, too");
        SlowStore store;
        const auto loading = feedWithForgottenJob(store);
        const StoredRecord submitted = store.jobRecords[0];
        store.jobRecords.clear();
        store.forgetHistory(partition);
        store.answerSnapshot(partition);
        store.appendRecord(submitted);
        EXPECT_EQ(loading->stateOf(firstJob), jobs::JobState::Queued);
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
