#include "poplarstream/edge/job_feed.hpp"

#include "poplarstream/edge/closable.hpp"  // for Closable
#include "poplarstream/edge/log_follower.hpp"  // for LogFollower
#include "poplarstream/edge/stored_jobs.hpp"  // for applyJobRecord, adoptStoredProgress

namespace poplarstream::edge {

namespace {

// Records of this many take a small processor well below the period of a renewal.
constexpr std::size_t recordsAtOnce = 100;

}  // namespace

struct JobFeed::State : Closable<JobFeed::State>
{
    State(Runtime &owner, engine::Engine &owned, TimePoint renewed, JobFeedEvents receivers)
        : runtime(owner)
        , engine(owned)
        , renewedAt(renewed)
        , events(std::move(receivers))
    {}

    void loadProgress()
    {
        FollowerEvents received;
        received.snapshot =
                guarded([](State &self, std::vector<StoredRecord> records, std::int64_t) {
                    self.progress = std::move(records);
                    // The follower that called this must not be destroyed within its call.
                    callAfter(self.runtime, Milliseconds{0},
                              self.guarded([](State &later) { later.loadJobs(); }));
                });
        received.records = [](const std::vector<StoredRecord> &, std::int64_t) {};
        follower = std::make_unique<LogFollower>(runtime, Log::Progress, FollowerSettings{},
                                                 std::move(received));
    }

    // Jobs are read after the progress: progress is never of a job that is not there yet.
    void loadJobs()
    {
        FollowerEvents received;
        received.snapshot = guarded([](State &self, std::vector<StoredRecord> records,
                                       std::int64_t) { self.take(std::move(records)); });
        received.records = received.snapshot;
        follower = std::make_unique<LogFollower>(runtime, Log::Jobs, FollowerSettings{},
                                                 std::move(received));
    }

    void take(std::vector<StoredRecord> records)
    {
        if (isLoaded) {
            for (const StoredRecord &record : records) {
                applyJobRecord(engine, record, clockReadingNow());
            }
            events.changed();
            return;
        }
        jobs.insert(jobs.end(), std::make_move_iterator(records.begin()),
                    std::make_move_iterator(records.end()));
        if (!isLoading) {
            isLoading = true;
            load();
        }
    }

    void load()
    {
        for (std::size_t count = 0; count < recordsAtOnce; ++count) {
            if (nextJob < jobs.size()) {
                applyJobRecord(engine, jobs[nextJob++], clockReadingNow());
            } else if (nextProgress < progress.size()) {
                adopt(progress[nextProgress++]);
            } else {
                finish();
                return;
            }
        }
        callAfter(runtime, Milliseconds{0}, guarded([](State &self) { self.load(); }));
    }

    void adopt(const StoredRecord &record)
    {
        if (isOfJob(record)) {
            adoptStoredProgress(engine, record, renewedAt, steadyNow());
        } else {
            events.other(record);
        }
    }

    void finish()
    {
        stopEndedJobs(engine, steadyNow());
        jobs.clear();
        progress.clear();
        isLoaded = true;
        events.loaded();
    }

    Runtime &runtime;
    engine::Engine &engine;
    TimePoint renewedAt;
    JobFeedEvents events;
    std::unique_ptr<LogFollower> follower;
    std::vector<StoredRecord> progress;
    std::vector<StoredRecord> jobs;
    std::size_t nextProgress = 0;
    std::size_t nextJob = 0;
    bool isLoading = false;
    bool isLoaded = false;
};

JobFeed::JobFeed(Runtime &runtime, engine::Engine &engine, TimePoint renewedAt,
                 JobFeedEvents events)
    : state_(std::make_shared<State>(runtime, engine, renewedAt, std::move(events)))
{
    state_->loadProgress();
}

JobFeed::~JobFeed()
{
    state_->isClosed = true;
    state_->follower.reset();
}

bool JobFeed::isLoaded() const
{
    return state_->isLoaded;
}

TimePoint JobFeed::currentAsOf() const
{
    return state_->isLoaded ? state_->follower->currentAsOf() : TimePoint{};
}

}  // namespace poplarstream::edge
