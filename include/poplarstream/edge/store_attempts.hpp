#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <optional>  // for optional

#include "poplarstream/edge/peer_calls.hpp"  // for SendToOwner, PeerRequest
#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/edge/store_circuit.hpp"  // for StorePath

namespace poplarstream::edge {

// What storing submissions needs from the rest of the process.
struct SubmissionHooks
{
    // The shard of a partition of the job log; 0 while the number of shards is not known.
    std::function<int(int partition)> shardOf;
    // Sends a request to the owner of its shard, which may be this process.
    SendToOwner sendToOwner;
    // Whether this process is the owner of a shard. Without it, it is taken not to be.
    std::function<bool(int shard)> isOwner;
};

// A record that is to be stored for a caller, who waits until `endsAt`.
struct RecordToStore
{
    std::shared_ptr<const StoredRecord> record;
    int partition = 0;  // of the job log
    TimePoint endsAt{};
};

// How an attempt to store a record ended.
struct StoreAttempt
{
    // Of all calls of the attempt together: Unknown if any of them may be carried out yet.
    AppendResult result = AppendResult::NotDone;
    StorePath path = StorePath::Direct;  // of the last call
    std::optional<bool> hasReachedOwner;  // empty if the owner was not asked
    bool isOwnerMissing = false;  // nobody took the record as the owner; nothing was done there
};

using StoreAttemptDone = std::function<void(StoreAttempt)>;

// Carries out attempts to store records in the job log.
class StoreAttempts
{
public:
    StoreAttempts(Runtime &runtime, SubmissionHooks hooks);
    StoreAttempts(const StoreAttempts &) = delete;
    StoreAttempts &operator=(const StoreAttempts &) = delete;
    ~StoreAttempts();

    // By the way that is expected to work, and if it fails by the other one.
    void tryFirst(const RecordToStore &record, const StoreAttemptDone &done);

    // By one way; directly if there is no owner. Direct calls are shared with other records that
    // are tried again.
    void tryAgain(const RecordToStore &record, StorePath path, StoreAttemptDone done);

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
