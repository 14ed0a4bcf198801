#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <string>  // for string

#include "poplarstream/edge/peer_calls.hpp"  // for PeerRequest, PeerResponse
#include "poplarstream/edge/runtime.hpp"  // for Runtime

namespace poplarstream::edge {

// What the store of submissions needs from the rest of the process.
struct SubmissionHooks
{
    // The shard of a partition of the job log; 0 while the number of shards is not known.
    std::function<int(int partition)> shardOf;
    // Sends a request to the owner of its shard, which may be this process.
    std::function<void(const PeerRequest &, Milliseconds, std::function<void(PeerResponse)>)>
            sendToOwner;
    // Whether this process is the owner of a shard. Without it, it is taken not to be.
    std::function<bool(int shard)> isOwner;
};

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

    // Metrics in the Prometheus text format.
    std::string metrics() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
