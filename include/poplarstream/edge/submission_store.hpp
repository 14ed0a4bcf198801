#pragma once

#include <memory>  // for shared_ptr
#include <string>  // for string

#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/edge/store_attempts.hpp"  // for SubmissionHooks

namespace poplarstream::edge {

// Stores submissions and cancellations of callers in the job log, directly or through the owner of
// the shard, and tries again while their callers wait if the store is away (edge/submission_retry
// decides). Repeated appends of a record are one submission, since records have keys.
class SubmissionStore
{
public:
    SubmissionStore(Runtime &runtime, SubmissionHooks hooks);
    SubmissionStore(const SubmissionStore &) = delete;
    SubmissionStore &operator=(const SubmissionStore &) = delete;
    ~SubmissionStore();

    // Responds once: with `successKind` when the record is stored, with Unavailable only if it is
    // not stored and never will be. `remaining` is how long the caller waits.
    void store(StoredRecord record, ResponseKind successKind, Milliseconds remaining,
               Respond respond);

    // Responds to all callers before `end`, since the process ends then; also to later ones.
    void endBy(TimePoint end);

    // Metrics in the Prometheus text format.
    std::string metrics() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
