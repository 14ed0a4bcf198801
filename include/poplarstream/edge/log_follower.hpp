#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <vector>  // for vector

#include "poplarstream/edge/ports.hpp"  // for StorePort, Log, StoredRecord
#include "poplarstream/edge/runtime.hpp"  // for Runtime

namespace poplarstream::edge {

struct FollowerEvents
{
    // The newest record of each key. Replaces everything that was delivered before.
    std::function<void(std::vector<StoredRecord>, std::int64_t endOffset)> snapshot;
    // Records that were appended after the snapshot.
    std::function<void(std::vector<StoredRecord>, std::int64_t endOffset)> records;
};

struct FollowerSettings
{
    int partition = 0;
    Milliseconds wait{1000};  // long poll: how long the store may hold a read
    Milliseconds pause{0};  // between two reads, which limits their rate
};

// Follows a keyed log: reads a snapshot of the newest record of each key, then the records appended
// after it. Reads a new snapshot when the store has deleted the next records. Retries failed reads.
class LogFollower
{
public:
    LogFollower(Runtime &runtime, Log log, const FollowerSettings &settings, FollowerEvents events);
    LogFollower(const LogFollower &) = delete;
    LogFollower &operator=(const LogFollower &) = delete;
    // Calls no event afterwards.
    ~LogFollower();

    // Changes the pause between two reads.
    void setPause(Milliseconds pause);
    // Ends the present pause once it has lasted `least`.
    void readSoon(Milliseconds least);

    // Everything that was in the log at this time has been delivered.
    TimePoint currentAsOf() const;
    // Since when reads of the log have succeeded without a long gap.
    TimePoint reachableSince() const;
    // When the newest successful read ended.
    TimePoint lastReadAt() const;
    // Whether the newest read succeeded and the next one is not overdue.
    bool isReachable() const;
    bool hasSnapshot() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
