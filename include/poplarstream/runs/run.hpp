#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for RunId, HostId, EntryHostId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/records/run_record.hpp"  // for RunAccepted, FencingToken, Resources
#include "poplarstream/runs/run_life_cycle.hpp"  // for RunStage

namespace poplarstream {

// A run is dead-lettered after this many failed attempts, each on a different worker.
inline constexpr std::size_t maxFailedAttempts = 3;
// A run is dead-lettered after losing this many workers, since the run itself may crash them. The
// limit is higher than maxFailedAttempts because racks also fail for unrelated reasons.
inline constexpr std::uint32_t maxWorkerLosses = 6;

// The granted claim of a run. `startedAt` is the log time of the confirmed start.
struct Claim
{
    FencingToken token;
    EntryHostId owner;
    HostId worker;
    std::uint64_t workerBoot = 0;
    Resources reserved;
    TimePoint since;
    std::optional<TimePoint> startedAt;

    friend bool operator==(const Claim &, const Claim &) = default;
};

// An attempt of an idempotent run that was abandoned without a response from the worker.
struct LostAttempt
{
    FencingToken token;
    HostId worker;
    std::uint64_t workerBoot = 0;

    friend bool operator==(const LostAttempt &, const LostAttempt &) = default;
};

// The replayed state of a run. `ordinal` is its sequence number in the order of acceptance. The
// payload is cleared when the run ends.
struct Run
{
    RunAccepted accepted;
    std::uint64_t ordinal = 0;
    RunStage stage = RunStage::Accepted;
    TimePoint acceptedAt;
    TimePoint waitingSince;
    TimePoint endedAt;
    std::optional<Claim> claim;
    std::vector<LostAttempt> lostAttempts;
    std::vector<HostId> failedOn;
    std::uint32_t losses = 0;
    // Whether a worker may have started the run under any claim.
    bool mayHaveStarted = false;
    // The checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
    std::string result;
    std::string reason;
    ZoneId handedTo;
    Offset handedOverAt = 0;
    bool isArrivalConfirmed = false;

    const RunId &id() const { return accepted.run; }

    friend bool operator==(const Run &, const Run &) = default;
};

}  // namespace poplarstream
