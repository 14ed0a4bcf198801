#pragma once

#include <cstdint>  // for uint32_t
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for HostId, PoolId, WaveId, ZoneId, RackId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/records/control_record.hpp"  // for AbsenceKind
#include "poplarstream/records/record.hpp"  // for Offset

namespace poplarstream::maintenance {

// The replayed life-cycle state of a host. A `Drained` host counts as away but has not been
// reported as gone, so its absence can still be abandoned.
enum class HostState { InService, Draining, Drained, Away, Returning, Failed };

// A granted absence that has not ended; it remains while the host is failed. `offset` is the offset
// of the granted request.
struct Grant
{
    Offset offset = 0;
    AbsenceKind kind = AbsenceKind::Reboot;
    PoolId target;
    WaveId wave;
    TimePoint since;
};

// A host as replayed from the control stream, with the usage that its worker reports. Its services
// are those of its pool. A host without a rack counts as a rack of its own.
struct HostView
{
    HostId id;
    PoolId pool;
    ZoneId zone;
    RackId rack;
    HostState state = HostState::InService;
    TimePoint stateSince;  // log time of the record that entered `state`
    bool isZoneLost = false;
    double capacity = 1;  // in the unit of PoolView::demand
    Milliseconds remainingWork{0};  // expected time until its current work finishes
    std::optional<Grant> grant;
    std::optional<TimePoint> lastAbandoned;  // log time of the last abandoned drain
};

// `demand` is the capacity requested now; `sustainedDemand` is its mean over some minutes. Loans
// and plans use the mean, because a peak of a few seconds is over before a move completes.
struct PoolView
{
    PoolId id;
    std::uint32_t maxAway = 0;
    bool isSpare = false;
    double demand = 0;
    double sustainedDemand = 0;
};

enum class WaveState { Running, Stopped, Withdrawn };

// Start and end as offsets from midnight UTC; a window whose end is before its start spans
// midnight.
struct DayWindow
{
    Milliseconds start{0};
    Milliseconds end{0};
};

// A host that was moved temporarily from the spare pool to a pool of a wave.
struct Loan
{
    HostId host;
    PoolId from;
    PoolId to;
};

// A wave of the configuration and its progress. `done` is the sorted list of hosts that have
// returned from an absence with a reboot, for this or another wave, since the wave started. It is
// not used for a wave that only moves hosts, where the current pool of a host shows its progress. A
// withdrawn wave stays in the view until its loans are returned.
struct WaveView
{
    WaveId id;
    std::vector<PoolId> pools;
    AbsenceKind action = AbsenceKind::Reboot;
    PoolId target;
    WaveState state = WaveState::Running;
    std::optional<DayWindow> window;
    std::vector<HostId> done;
    std::vector<Loan> loans;
};

// Relative weights from the configuration.
struct Weights
{
    double rollout = 1;
    double moves = 1;
    double flood = 1;
};

// Expected durations and limits.
struct Policy
{
    Milliseconds rebootTime{300'000};
    Milliseconds moveTime{60'000};
    // A drain that exceeds its timeout is extended `drainExtensions` times and then abandoned. Work
    // in progress is never interrupted.
    Milliseconds drainTimeout{900'000};
    std::uint32_t drainExtensions = 3;
    // Cooldown of a host after an abandoned drain.
    Milliseconds drainRetryDelay{1'800'000};
    // A host that stays away or returning for this long counts as failed.
    Milliseconds returnTimeout{1'200'000};
    // A host in service or draining that does not respond for this long counts as failed.
    Milliseconds failureTimeout{30'000};
    // Limits the records that one step appends; the log accepts several hundred appends per second.
    std::uint32_t maxRequestsPerStep = 64;
};

// Hosts, pools and waves are sorted by id.
struct FleetView
{
    std::vector<HostView> hosts;
    std::vector<PoolView> pools;
    std::vector<WaveView> waves;
    Weights weights;
    bool hasRackHeadroom = false;
    // Loans are made only if the wave views report them, since every loan must be returned.
    bool mayLend = false;
    Policy policy;
};

// A host with an appended proposal whose outcome is not known yet. `target` is the pool that the
// proposal moves it to, or empty.
struct InFlight
{
    HostId host;
    PoolId target;
};

constexpr bool hasReboot(AbsenceKind kind)
{
    return kind != AbsenceKind::Move;
}

constexpr bool hasMove(AbsenceKind kind)
{
    return kind != AbsenceKind::Reboot;
}

}  // namespace poplarstream::maintenance
