#pragma once

#include <cstdint>  // for int64_t, uint64_t
#include <deque>  // for deque
#include <map>  // for map
#include <set>  // for set
#include <string>  // for string
#include <unordered_set>  // for unordered_set

#include <boost/unordered/unordered_flat_map.hpp>  // for unordered_flat_map

#include "poplarstream/base/id.hpp"  // for RunId, TenantId, HostId, ServiceId
#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds
#include "poplarstream/runs/run.hpp"  // for Run

namespace poplarstream {

// How long the result of an ended run can be read, and how many ended runs are kept at most.
inline constexpr Milliseconds resultRetention{60 * 60 * 1000};
inline constexpr std::size_t maxEndedRuns = 100'000;
// How many record ids are remembered to ignore repeated appends. At the log's several hundred
// appends a second they cover more than the minute within which a retry can arrive.
inline constexpr std::size_t maxRecentRecords = 32'768;
inline constexpr std::size_t maxRefusals = 1024;
// A hand-over can be repeated by an entry host that was paused for long; its arrival is remembered
// for a day.
inline constexpr Milliseconds arrivalRetention{24 * 60 * 60 * 1000};
inline constexpr std::size_t maxOutcomesPerWorker = 16;
inline constexpr std::size_t maxSamplesPerService = 64;
inline constexpr std::size_t maxWorkerHistories = 8192;

// An entry that was refused, kept for `explain`.
struct Refusal
{
    Offset offset = 0;
    std::uint32_t index = 0;
    RunId run;
    std::string reason;

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

// What the open claims reserve on one worker. Whole numbers, so that sums do not drift.
struct Reservation
{
    std::int64_t milliCpus = 0;
    std::int64_t memoryMegabytes = 0;
    std::int64_t accelerators = 0;
    std::uint32_t runs = 0;

    friend bool operator==(const Reservation &, const Reservation &) = default;
};

// One attempt that ended at a worker. `tenant` is the hash of the tenant's id.
struct AttemptOutcome
{
    TimePoint at;
    std::uint64_t tenant = 0;
    std::uint64_t run = 0;
    bool isFault = false;

    friend bool operator==(const AttemptOutcome &, const AttemptOutcome &) = default;
};

// The newest attempts that ended at a worker, oldest first.
struct WorkerHistory
{
    std::deque<AttemptOutcome> outcomes;
    std::uint32_t consecutiveFaults = 0;
    TimePoint lastOutcome;

    friend bool operator==(const WorkerHistory &, const WorkerHistory &) = default;
};

// Measured over declared, for one finished run. 0 where the worker reported nothing.
struct UsageRatios
{
    double cpus = 0;
    double memory = 0;
    double duration = 0;

    friend bool operator==(const UsageRatios &, const UsageRatios &) = default;
};

// Ordinals by hash. Two texts with one hash are so rare that their entries stand in a second map.
struct HashIndex
{
    boost::unordered_flat_map<std::uint64_t, std::uint64_t> entries;
    std::multimap<std::uint64_t, std::uint64_t> collisions;

    friend bool operator==(const HashIndex &, const HashIndex &) = default;
};

// The runs of one zone, replayed from its stream. Ordinals refer to `runs`.
struct RunsState
{
    // The offset after the last applied record, and the log's time there (it never goes back).
    Offset nextOffset = 0;
    TimePoint now;
    std::uint64_t nextOrdinal = 0;

    std::map<std::uint64_t, Run> runs;
    // Keyed by hashes, which take a fraction of the memory and time of the texts; whoever looks up
    // compares the texts too.
    HashIndex byId;
    HashIndex byKey;
    std::map<TenantId, std::set<std::uint64_t>> waiting;
    // Claimed, started or being cancelled.
    std::set<std::uint64_t> active;
    // Handed over, and the arrival is not confirmed yet.
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
