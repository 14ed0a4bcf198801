#pragma once

#include <cstdint>  // for uint32_t
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for HostId, PoolId, WaveId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/maintenance/budget_usage.hpp"  // for Refusal
#include "poplarstream/maintenance/fleet_view.hpp"  // for FleetView
#include "poplarstream/records/control_record.hpp"  // for AbsenceKind

namespace poplarstream::maintenance {

struct PlannedAbsence
{
    HostId host;
    WaveId wave;
    AbsenceKind kind = AbsenceKind::Reboot;
    PoolId target;
    TimePoint start;
    TimePoint end;
    std::string reason;
};

// A host for which no absence could be planned, and the reason.
struct BlockedHost
{
    HostId host;
    Refusal refusal = Refusal::None;
};

// The absences that stepWaves() is expected to request, by start time. This is only a forecast: it
// is not recorded and nothing depends on it, so a change of the fleet needs no new agreement.
struct WavePlan
{
    std::vector<PlannedAbsence> absences;
    std::vector<BlockedHost> blocked;
    Milliseconds rollout{0};  // from now to the end of the last absence
    std::uint32_t moves = 0;
    std::uint32_t mostAway = 0;  // peak number of hosts away in all pools, including those away now
};

// Plans all running waves from `now` on under the sustained demand, with the same choices as
// stepWaves(): the longest absence that the budgets allow goes first. A host that is away for an
// absence is expected back after the expected duration; failed hosts and hosts of lost zones are
// not expected back.
WavePlan planWaves(const FleetView &view, TimePoint now);

}  // namespace poplarstream::maintenance
