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

// A host that no absence could be planned for, and why.
struct BlockedHost
{
    HostId host;
    Refusal refusal = Refusal::None;
};

// What the stepper is expected to do, in order of start. A forecast: it is not recorded and nothing
// depends on it, so that a change of the fleet needs no new agreement.
struct WavePlan
{
    std::vector<PlannedAbsence> absences;
    std::vector<BlockedHost> blocked;
    Milliseconds rollout{0};  // from now to the end of the last absence
    std::uint32_t moves = 0;
    std::uint32_t mostAway = 0;  // hosts away at once, of all pools, with those away already
};

// Plans all running waves from now on with the choices of the stepper (the longest absence that the
// budgets allow first) under the sustained demand. Hosts that are away for an absence are expected
// back after its expected duration; failed and unseen hosts are not expected back.
WavePlan planWaves(const FleetView &view, TimePoint now);

}  // namespace poplarstream::maintenance
