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

// The replayed life-cycle state of a host. `Drained` is the part of Away before the report that the
// host has left, in which the absence can still be given up.
enum class HostState { InService, Draining, Drained, Away, Returning, Failed };

// A granted absence that has not ended; a host that fails keeps it. `offset` is the offset of the
// granted request.
struct Grant
{
    Offset offset = 0;
    AbsenceKind kind = AbsenceKind::Reboot;
    PoolId target;
    WaveId wave;
    TimePoint since;
};

// A host as replayed from the control stream, with the usage that its worker reports. A host serves
// the services of its pool, so they are not repeated here. A host without a rack is a rack of its
// own.
struct HostView
{
    HostId id;
    PoolId pool;
    ZoneId zone;
    RackId rack;
    HostState state = HostState::InService;
    TimePoint stateSince;  // log time of the record that entered `state`
    bool isZoneLost = false;  // its zone is lost
    double capacity = 1;  // in the unit of PoolView::demand
    Milliseconds remainingWork{0};  // expected time until its present work is finished
    std::optional<Grant> grant;
    std::optional<TimePoint> lastAbandoned;  // log time of the last drain that was given up
};

// `demand` is the capacity that is asked for now; `sustainedDemand` is its mean over some minutes,
// which loans and plans use because a peak of a few seconds is over before a move ends.
struct PoolView
{
    PoolId id;
    std::uint32_t maxAway = 0;
    bool isSpare = false;
    double demand = 0;
    double sustainedDemand = 0;
};

enum class WaveState { Running, Stopped, Withdrawn };

// Start and end in milliseconds of the UTC day; a window with end before start passes midnight.
struct DayWindow
{
    Milliseconds start{0};
    Milliseconds end{0};
};

// A host that was moved from the spare pool to a pool of a wave, to be moved back.
struct Loan
{
    HostId host;
    PoolId from;
    PoolId to;
};

// A wave of the configuration and how far it has come. `done` holds, sorted, the hosts that
// returned from an absence with a reboot, of this or another wave, since the wave started; it is
// not used for a wave that only moves, where the present pool tells. A withdrawn wave stays in the
// view until its loans are back.
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

// Expected durations and bounds.
struct Policy
{
    Milliseconds rebootTime{300'000};
    Milliseconds moveTime{60'000};
    // A drain may take this long; it is extended this many times before it is given up. Work in
    // progress is never cut off.
    Milliseconds drainBound{900'000};
    std::uint32_t drainExtensions = 3;
    // A drain that was given up is not tried again before this time has passed.
    Milliseconds drainRetryAfter{1'800'000};
    // A host that is away or returning for longer is abandoned and counts as failed.
    Milliseconds returnBound{1'200'000};
    // A host that is in service and does not answer for this long has failed.
    Milliseconds failAfter{30'000};
    // Bounds the burst of records of one step; the log takes several hundred appends a second.
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
    // Loans are made only where the views of the waves report them, since they must be returned.
    bool mayLend = false;
    Policy policy;
};

// A host with an appended proposal whose outcome is not known yet. `target` is the pool that the
// proposal would move it to, or empty.
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
