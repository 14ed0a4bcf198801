#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/edge/ports.hpp"  // for StoredRecord
#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::edge {

struct JobFeedEvents
{
    // A record of the progress log that is not of a job.
    std::function<void(const StoredRecord &)> other;
    // All that was stored before has been applied.
    std::function<void()> loaded;
    // Jobs or cancellations have been applied since.
    std::function<void()> changed;
};

// Applies all jobs and their progress to an engine, then what entry hosts accept. It does so a few
// records at a time: an owner that reads thousands of jobs has to renew its ownership meanwhile.
class JobFeed
{
public:
    // Earlier owners renewed leases at `renewedAt` at the latest.
    JobFeed(Runtime &runtime, engine::Engine &engine, TimePoint renewedAt, JobFeedEvents events);
    JobFeed(const JobFeed &) = delete;
    JobFeed &operator=(const JobFeed &) = delete;
    // Calls no event afterwards.
    ~JobFeed();

    bool isLoaded() const;
    // Everything that was in the job log at this time has been applied.
    TimePoint currentAsOf() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
