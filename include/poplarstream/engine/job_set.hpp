#pragma once

#include <cstddef>  // for size_t
#include <vector>  // for vector

#include "poplarstream/jobs/model.hpp"  // for Job, JobIndex

namespace poplarstream::engine {

// A set of jobs. Each job records its place, so that no operation searches. The order of iteration
// depends only on the sequence of operations. The jobs must stay at their addresses.
class JobSet
{
public:
    explicit JobSet(jobs::JobIndex index)
        : slot_(static_cast<std::size_t>(index))
    {}

    void insert(jobs::Job &job)
    {
        if (!contains(job)) {
            job.places[slot_] = jobs_.size();
            jobs_.push_back(&job);
        }
    }

    void erase(jobs::Job &job)
    {
        if (contains(job)) {
            jobs::Job *const last = jobs_.back();
            jobs_[job.places[slot_]] = last;
            last->places[slot_] = job.places[slot_];
            jobs_.pop_back();
            job.places[slot_] = jobs::notInIndex;
        }
    }

    bool contains(const jobs::Job &job) const { return job.places[slot_] != jobs::notInIndex; }

    std::size_t size() const { return jobs_.size(); }
    bool empty() const { return jobs_.empty(); }
    jobs::Job &back() const { return *jobs_.back(); }
    auto begin() const { return jobs_.begin(); }
    auto end() const { return jobs_.end(); }

private:
    std::size_t slot_;
    std::vector<jobs::Job *> jobs_;
};

}  // namespace poplarstream::engine
