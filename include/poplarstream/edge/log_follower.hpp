#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <vector>  // for vector

#include "poplarstream/edge/ports.hpp"  // for StorePort, Log, StoredRecord
#include "poplarstream/edge/runtime.hpp"  // for Runtime

namespace poplarstream::edge {

struct FollowerEvents
{
    // The newest record of each key: replaces all that was known.
    std::function<void(std::vector<StoredRecord>, std::int64_t endOffset)> snapshot;
    // Records that came after.
    std::function<void(std::vector<StoredRecord>, std::int64_t endOffset)> records;
};

struct FollowerSettings
{
    Milliseconds wait{1000};  // longest time that a read waits at the store
    Milliseconds pause{0};  // between two reads, to bound their number
};

// Follows a keyed log: reads the newest record of each key, then what comes after. Starts over when
// the store has deleted what it would read next. Failed reads are repeated.
class LogFollower
{
public:
    LogFollower(Runtime &runtime, Log log, const FollowerSettings &settings, FollowerEvents events);
    LogFollower(const LogFollower &) = delete;
    LogFollower &operator=(const LogFollower &) = delete;
    // Calls no event afterwards.
    ~LogFollower();

    // Everything that was in the log at this time has been delivered.
    TimePoint currentAsOf() const;
    // Since when reads have been answered without a longer gap.
    TimePoint inContactSince() const;
    bool hasSnapshot() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
