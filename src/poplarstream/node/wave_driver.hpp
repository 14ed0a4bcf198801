#pragma once

#include <map>  // for map
#include <optional>  // for optional
#include <vector>  // for vector

#include "control_core.hpp"  // for ControlCore
#include "poplarstream/maintenance/leader_lease.hpp"  // for LeasePolicy
#include "poplarstream/node/wave_view.hpp"  // for PoolDemands

namespace poplarstream {

// The duty lease under which waves are driven and control snapshots are written.
inline constexpr const char *fleetLeaseName = "fleet";

// The part of the control duty that carries out waves, reports failed hosts and lost zones, and
// writes snapshots of the control stream.
struct WaveDriver
{
    maintenance::LeasePolicy leasePolicy;
    std::map<RecordId, maintenance::InFlight> inFlight;  // proposals about hosts
    std::optional<RecordId> leaseProposal;
    std::map<RecordId, ZoneId> zoneProposals;
    std::vector<RecordId> snapshotProposals;
    PoolDemands demands;
    // The view of the fleet state through `viewThrough`, made anew only when that state changes.
    maintenance::FleetView view;
    std::optional<Offset> viewThrough;
    std::vector<maintenance::Note> notes;
    std::vector<maintenance::Page> pages;
    std::map<WaveId, std::size_t> loggedDone;  // hosts done when a wave was last logged
    bool heldDuty = false;
    TimePoint nextStep;
    TimePoint nextFleetStep;
    TimePoint nextHealthStep;
    Offset snapshotThrough = 0;
    TimePoint snapshotAt;
};

// Whether this process holds the duty now, with the margin of the policy.
bool mayActNow(const WaveDriver &driver, const ControlCore &core);

// One step, to be called several times a second.
void step(WaveDriver &driver, ControlCore &core);

// A proposal of the control stream has its outcome, whatever it is.
void forgetProposal(WaveDriver &driver, const RecordId &record);

// Gives the duty up if it is held.
void releaseFleetLease(WaveDriver &driver, ControlCore &core);

}  // namespace poplarstream
