#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <optional>  // for optional
#include <span>  // for span
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds
#include "poplarstream/edge/store_circuit.hpp"  // for StoreCircuit, StorePath

namespace poplarstream::edge {

// Part of a caller's remaining time that is reserved for the response.
inline constexpr Milliseconds responseMargin{200};

// Of a request to an owner on behalf of a caller.
inline constexpr Milliseconds ownerDeadline{1000};

// The deadline of a call on behalf of a caller who waits for `remaining`: `limit` at most, and
// leaving time for the response.
Milliseconds callDeadline(Milliseconds limit, Milliseconds remaining);

// Until when a caller waits that says how long it will. Nothing waits here for longer than half a
// minute, whatever a caller says.
TimePoint callerEnd(TimePoint receivedAt, Milliseconds remaining);

// A submission or cancellation of a caller that is not stored yet.
struct PendingRecord
{
    std::uint64_t number = 0;  // in order of arrival
    std::string key;  // of the record; its hash spreads the retries
    int partition = 0;  // of the job log
    std::size_t bytes = 0;
    TimePoint receivedAt{};
    TimePoint endsAt{};  // the caller waits until then
    int failedAttempts = 0;
    TimePoint failedAt{};  // when the last of them ended
    bool isUnderWay = false;  // an attempt has not ended
    TimePoint startedAt{};  // of that attempt
    bool mayBeStored = false;  // an attempt ended without a known outcome
};

// What waits for the store in one process.
struct WaitingLoad
{
    std::size_t records = 0;
    std::size_t bytes = 0;
};

// Whether `bytes` more may wait.
bool mayWait(const WaitingLoad &load, std::size_t bytes);

// What a caller is told of a record that is not stored.
struct GiveUp
{
    std::uint64_t number = 0;
    // It may be stored yet, so the caller must not be told that the job never runs.
    bool mayBeStored = false;
    Milliseconds retryAfter{};  // if it will not be
};

struct RetryPlan
{
    std::vector<GiveUp> givenUp;
    std::vector<std::uint64_t> attempts;  // to begin now, those with the least time left first
    std::optional<TimePoint> wakeAt;  // when to plan again, unless something happens before
};

// Decides on all records that are not stored yet; `circuits` are those of the partitions.
//
// A record waits for the store as long as its caller waits, less the margin for the response; half
// as long if this host may be the only one that the store is away from, so that the caller can try
// another. While the circuit of a partition is open, one record at a time is tried.
RetryPlan planRetries(std::span<const PendingRecord *const> records,
                      std::span<const StoreCircuit> circuits, TimePoint now);

// The way of the next attempt. After the store has come back, the way by which it did; otherwise
// the two by turns, since either may be the one that is interrupted.
StorePath nextPath(const PendingRecord &record, const StoreCircuit &circuit);

// What the caller of `record` is told if too much waits already. The times after which such callers
// come back are spread by a hash of the key.
GiveUp giveUpForWantOfRoom(const PendingRecord &record);

}  // namespace poplarstream::edge
