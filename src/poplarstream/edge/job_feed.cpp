#include "poplarstream/edge/job_feed.hpp"

#include <algorithm>  // for min
#include <map>  // for map
#include <set>  // for set
#include <span>  // for span
#include <unordered_map>  // for unordered_map
#include <utility>  // for exchange

#include "poplarstream/edge/closable.hpp"  // for Closable
#include "poplarstream/edge/log_follower.hpp"  // for LogFollower
#include "poplarstream/edge/stored_jobs.hpp"  // for applyJobRecord, adoptLateProgress
#include "poplarstream/engine/attempts.hpp"  // for findJob
#include "poplarstream/jobs/codec.hpp"  // for settledState, originOfSubmission
#include "poplarstream/jobs/progress_records.hpp"  // for jobOfRecord
#include "poplarstream/jobs/queries.hpp"  // for isFinal

namespace poplarstream::edge {

namespace {

// A slow processor applies this many records in much less than the renewal period.
constexpr std::size_t recordsPerSlice = 100;
// Between two reads of a partition, so that records that arrive one by one share a read.
constexpr Milliseconds readPause{10};

}  // namespace

struct JobFeed::State : Closable<JobFeed::State>
{
    State(Runtime &sharedRuntime, ownership::Shard ownShard, engine::Engine &jobEngine,
          TimePoint latestRenewal, JobFeedEvents receivers)
        : runtime(sharedRuntime)
        , shard(ownShard)
        , engine(jobEngine)
        , renewedAt(latestRenewal)
        , events(std::move(receivers))
    {}

    void loadProgress()
    {
        FollowerEvents received;
        received.snapshot =
                guarded([](State &self, std::vector<StoredRecord> records, std::int64_t) {
                    self.progress = std::move(records);
                    // The next step replaces the follower, which must not be destroyed in its own
                    // callback.
                    callAfter(self.runtime, Milliseconds{0},
                              self.guarded([](State &later) { later.loadJobs(); }));
                });
        received.records = [](const std::vector<StoredRecord> &, std::int64_t) {};
        FollowerSettings settings;
        settings.partition = shard.index;
        progressFollower = std::make_unique<LogFollower>(runtime, Log::Progress, settings,
                                                         std::move(received));
    }

    // Jobs are read after the progress, so that the job of each progress record is known. The
    // partitions are read side by side.
    void loadJobs()
    {
        progressFollower.reset();
        for (int partition = 0; partition < runtime.settings.jobPartitions; ++partition) {
            if (ownership::shardOfPartition(partition, shard.count) == shard.index) {
                unreadPartitions.insert(partition);
            }
        }
        // A copy, since a partition leaves the set as soon as it has been read.
        for (const int partition : std::set<int>(unreadPartitions)) {
            followPartition(partition);
        }
    }

    void followPartition(int partition)
    {
        FollowerEvents received;
        received.snapshot =
                guarded([partition](State &self, std::vector<StoredRecord> records, std::int64_t) {
                    self.handleSnapshot(partition, std::move(records));
                });
        received.records =
                guarded([partition](State &self, std::vector<StoredRecord> records, std::int64_t) {
                    self.handleJobRecords(partition, std::move(records));
                });
        FollowerSettings settings;
        settings.partition = partition;
        settings.pause = readPause;
        followers.push_back(
                std::make_unique<LogFollower>(runtime, Log::Jobs, settings, std::move(received)));
    }

    // Replaces what was read of the partition before. The store may drop the history of a partition
    // at any time, also while another one has not been read at all.
    void handleSnapshot(int partition, std::vector<StoredRecord> records)
    {
        unreadPartitions.erase(partition);
        recordsRead[partition].clear();
        confirmDeletions(engine, records, partition, runtime.settings.jobPartitions);
        handleJobRecords(partition, std::move(records));
    }

    void handleJobRecords(int partition, std::vector<StoredRecord> records)
    {
        if (isLoaded) {
            const LoadMeter::Section section(runtime.load, OwnerWork::Feed);
            for (const StoredRecord &record : records) {
                applyJobRecord(engine, record, clockReadingNow());
                adoptLateJob(record);
            }
            events.changed();
            return;
        }
        std::vector<StoredRecord> &read = isLoading ? submissions : recordsRead[partition];
        read.insert(read.end(), std::make_move_iterator(records.begin()),
                    std::make_move_iterator(records.end()));
        if (!isLoading && unreadPartitions.empty()) {
            beginLoading();
        }
    }

    void beginLoading()
    {
        isLoading = true;
        for (auto &[partition, records] : std::exchange(recordsRead, {})) {
            submissions.insert(submissions.end(), std::make_move_iterator(records.begin()),
                               std::make_move_iterator(records.end()));
        }
        loadSlice();
    }

    // A job whose progress was stored before its submission was read has run.
    void adoptLateJob(const StoredRecord &record)
    {
        const auto found = progressWithoutJob.find(record.key);
        if (found == progressWithoutJob.end() || !record.value) {
            return;
        }
        adoptLateProgress(engine, found->second, renewedAt, steadyNow());
        progressWithoutJob.erase(found);
        stopEndedJobs(engine, steadyNow());
    }

    // All partitions have been read up to here.
    TimePoint currentAsOf() const
    {
        TimePoint oldest = TimePoint::max();
        for (const auto &follower : followers) {
            oldest = std::min(oldest, follower->currentAsOf());
        }
        return isLoaded ? oldest : TimePoint{};
    }

    void loadSlice()
    {
        for (std::size_t count = 0; count < recordsPerSlice; ++count) {
            if (nextSettled < progress.size()) {
                noteIfSettled(progress[nextSettled++]);
            } else if (nextJob < submissions.size()) {
                applyStoredJob(submissions[nextJob++]);
            } else if (nextProgress < progress.size()) {
                applyNextProgress();
            } else {
                finish();
                return;
            }
        }
        callAfter(runtime, Milliseconds{0}, guarded([](State &self) { self.loadSlice(); }));
    }

    // Most stored jobs have ended; only their state is loaded, which takes a fraction of the time.
    void noteIfSettled(const StoredRecord &record)
    {
        if (!record.value || !isHeadRecord(record)) {
            return;
        }
        if (const auto state = jobs::settledState(*record.value)) {
            settled.emplace(record.key, *state);
        }
    }

    void applyStoredJob(const StoredRecord &record)
    {
        const auto known = settled.find(record.key);
        const auto origin = known != settled.end() && record.value
                                    ? jobs::originOfSubmission(*record.value)
                                    : std::nullopt;
        if (origin) {
            engine::adoptSettledJob(engine, jobs::JobId(record.key), *origin, known->second,
                                    steadyNow());
        } else {
            applyJobRecord(engine, record, clockReadingNow());
        }
    }

    // Applies the next record that belongs to no job, or all records of the next job.
    void applyNextProgress()
    {
        const std::size_t first = nextProgress++;
        if (!isJobRecord(progress[first])) {
            events.otherRecord(progress[first]);
            return;
        }
        const std::string_view key = jobs::jobOfRecord(progress[first].key);
        while (nextProgress < progress.size() && isJobRecord(progress[nextProgress])
               && jobs::jobOfRecord(progress[nextProgress].key) == key) {
            ++nextProgress;
        }
        applyProgress(std::string(key), std::span(progress).subspan(first, nextProgress - first));
    }

    void applyProgress(const std::string &key, std::span<const StoredRecord> records)
    {
        const jobs::Job *const job = engine::findJob(engine, jobs::JobId(key));
        if (settled.contains(key) && job != nullptr && jobs::isFinal(job->state)) {
            deleteParts(records);
            return;
        }
        if (job == nullptr) {
            progressWithoutJob[key].assign(records.begin(), records.end());
        }
        adoptStoredProgress(engine, records, renewedAt, steadyNow());
    }

    // Nothing is left to read in the parts of a job that has ended.
    void deleteParts(std::span<const StoredRecord> records)
    {
        for (const StoredRecord &record : records) {
            if (!isHeadRecord(record)) {
                engine.pendingRecords.push_back({record.key, {}});
            }
        }
    }

    void finish()
    {
        stopEndedJobs(engine, steadyNow());
        submissions.clear();
        progress.clear();
        settled.clear();
        isLoaded = true;
        events.loaded();
    }

    Runtime &runtime;
    ownership::Shard shard;
    engine::Engine &engine;
    TimePoint renewedAt;
    JobFeedEvents events;
    std::unique_ptr<LogFollower> progressFollower;
    std::vector<std::unique_ptr<LogFollower>>
            followers;  // of the shard's partitions of the job log
    std::set<int> unreadPartitions;  // those of which no snapshot has been read
    std::map<int, std::vector<StoredRecord>> recordsRead;  // by partition, until all are read
    std::unordered_map<std::string, std::vector<StoredRecord>>
            progressWithoutJob;  // by the key of the job
    std::vector<StoredRecord> progress;
    std::vector<StoredRecord> submissions;
    std::unordered_map<std::string, jobs::JobState> settled;  // by the key of the job
    std::size_t nextSettled = 0;
    std::size_t nextProgress = 0;
    std::size_t nextJob = 0;
    bool isLoading = false;
    bool isLoaded = false;
};

JobFeed::JobFeed(Runtime &runtime, ownership::Shard shard, engine::Engine &engine,
                 TimePoint renewedAt, JobFeedEvents events)
    : state_(std::make_shared<State>(runtime, shard, engine, renewedAt, std::move(events)))
{
    state_->loadProgress();
}

JobFeed::~JobFeed()
{
    state_->isClosed = true;
    state_->progressFollower.reset();
    state_->followers.clear();
}

bool JobFeed::isLoaded() const
{
    return state_->isLoaded;
}

TimePoint JobFeed::currentAsOf() const
{
    return state_->currentAsOf();
}

std::size_t JobFeed::progressWithoutJob() const
{
    return state_->progressWithoutJob.size();
}

}  // namespace poplarstream::edge
