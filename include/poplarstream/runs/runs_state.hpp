#pragma once

#include <cstdint>  // for int64_t, uint64_t
#include <deque>  // for deque
#include <map>  // for map
#include <set>  // for set
#include <string>  // for string
#include <unordered_set>  // for unordered_set

#include <boost/unordered/unordered_flat_map.hpp>  // for unordered_flat_map

#include "poplarstream/base/id.hpp"  // for RunId, AccountId, HostId, ServiceId
#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds
#include "poplarstream/runs/run.hpp"  // for Run

namespace poplarstream {

// How long an ended run and its result are kept, and the maximum number of ended runs.
inline constexpr Milliseconds resultRetention{60 * 60 * 1000};
inline constexpr std::size_t maxEndedRuns = 100'000;
// Number of recent record ids that are kept to deduplicate retried appends. Retries arrive within a
// minute; at several hundred appends per second this covers more than that.
inline constexpr std::size_t maxRecentRecords = 32'768;
inline constexpr std::size_t maxRefusals = 1024;
// An entry host that was paused for a long time can repeat a hand-over, so that arrivals are
// deduplicated for a day.
inline constexpr Milliseconds arrivalRetention{24 * 60 * 60 * 1000};
inline constexpr std::size_t maxOutcomesPerWorker = 16;
inline constexpr std::size_t maxSamplesPerService = 64;
inline constexpr std::size_t maxWorkerHistories = 8192;

// A refused entry, kept for `explain`.
struct Refusal
{
    Offset offset = 0;
    std::uint32_t index = 0;
    RunId run;
    std::string reason;

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

// Total reservation of the open claims on one worker. Integers, so that sums do not accumulate
// rounding errors.
struct Reservation
{
    std::int64_t milliCpus = 0;
    std::int64_t memoryMegabytes = 0;
    std::int64_t accelerators = 0;
    std::uint32_t runs = 0;

    friend bool operator==(const Reservation &, const Reservation &) = default;
};

// The outcome of one attempt on a worker. `tenant` and `run` are hashes of the ids.
struct AttemptOutcome
{
    TimePoint at;
    std::uint64_t tenant = 0;
    std::uint64_t run = 0;
    bool isFault = false;

    friend bool operator==(const AttemptOutcome &, const AttemptOutcome &) = default;
};

// The most recent attempt outcomes on a worker, oldest first.
struct WorkerHistory
{
    std::deque<AttemptOutcome> outcomes;
    std::uint32_t consecutiveFaults = 0;
    TimePoint lastOutcome;

    friend bool operator==(const WorkerHistory &, const WorkerHistory &) = default;
};

// Ratios of measured to declared usage of one finished run; 0 where nothing was reported.
struct UsageRatios
{
    double cpus = 0;
    double memory = 0;
    double duration = 0;

    friend bool operator==(const UsageRatios &, const UsageRatios &) = default;
};

// Ordinals by hash. Collisions are rare and kept in a separate map.
struct HashIndex
{
    boost::unordered_flat_map<std::uint64_t, std::uint64_t> entries;
    std::multimap<std::uint64_t, std::uint64_t> collisions;

    friend bool operator==(const HashIndex &, const HashIndex &) = default;
};

// The runs of one zone, replayed from its stream. Ordinals refer to `runs`.
struct RunsState
{
    // The offset after the last applied record and its log time, which never decreases.
    Offset nextOffset = 0;
    TimePoint now;
    std::uint64_t nextOrdinal = 0;

    std::map<std::uint64_t, Run> runs;
    // Keyed by hash, which takes a fraction of the memory and time of string keys. Lookups also
    // compare the strings.
    HashIndex byId;
    HashIndex byKey;
    std::map<AccountId, std::set<std::uint64_t>> waiting;
    // Runs that are claimed, started or being cancelled.
    std::set<std::uint64_t> active;
    // Runs that were handed over and whose arrival is not confirmed yet.
    std::set<std::uint64_t> pendingHandOvers;
    std::deque<std::uint64_t> ended;

    std::map<EntryHostId, TimePoint> leases;
    std::map<HostId, Reservation> reserved;
    std::map<HostId, WorkerHistory> workers;
    std::map<ServiceId, std::deque<UsageRatios>> usageRatios;

    std::deque<std::uint64_t> recentRecordHashes;
    std::unordered_set<std::uint64_t> recentRecordHashSet;
    std::deque<std::pair<TimePoint, std::uint64_t>> arrivals;
    std::unordered_set<std::uint64_t> arrivalSet;
    std::deque<Refusal> refusals;

    friend bool operator==(const RunsState &, const RunsState &) = default;
};

}  // namespace poplarstream
