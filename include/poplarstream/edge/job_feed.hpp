#pragma once

#include <cstddef>  // for size_t
#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/edge/ports.hpp"  // for StoredRecord
#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/engine/state.hpp"  // for Engine
#include "poplarstream/ownership/division.hpp"  // for Shard

namespace poplarstream::edge {

struct JobFeedEvents
{
    // A record of the progress log that does not belong to a job.
    std::function<void(const StoredRecord &)> otherRecord;
    // Everything that was stored when the feed began has been applied.
    std::function<void()> loaded;
    // New submissions or cancellations have been applied after loading.
    std::function<void()> changed;
};

// Loads the jobs of a shard and their progress into an engine, then applies the submissions and
// cancellations that entry hosts store. Loads a few records at a time: an owner that reads
// thousands of jobs has to renew its ownership meanwhile.
class JobFeed
{
public:
    // `renewedAt` is the latest time at which an earlier owner may have renewed leases.
    JobFeed(Runtime &runtime, ownership::Shard shard, engine::Engine &engine, TimePoint renewedAt,
            JobFeedEvents events);
    JobFeed(const JobFeed &) = delete;
    JobFeed &operator=(const JobFeed &) = delete;
    // Calls no event afterwards.
    ~JobFeed();

    bool isLoaded() const;
    // Everything that was in the job log at this time has been applied.
    TimePoint currentAsOf() const;
    // The number of jobs whose progress is stored but whose submission has not been read.
    std::size_t progressWithoutJob() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
