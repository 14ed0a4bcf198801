#pragma once

#include <map>  // for map
#include <optional>  // for optional
#include <vector>  // for vector

#include "control_core.hpp"  // for ControlCore
#include "poplarstream/maintenance/leader_lease.hpp"  // for LeasePolicy
#include "poplarstream/node/wave_view.hpp"  // for PoolDemands

namespace poplarstream {

// Leader lease whose holder drives the waves and writes the control snapshots.
inline constexpr const char *fleetLeaseName = "fleet";

// The part of the control duty that drives waves, reports failed hosts and lost zones, and writes
// snapshots of the control stream.
struct WaveDriver
{
    maintenance::LeasePolicy leasePolicy;
    std::map<RecordId, maintenance::InFlight> inFlight;  // open proposals about hosts
    std::optional<RecordId> leaseProposal;
    std::map<RecordId, ZoneId> zoneProposals;
    std::vector<RecordId> snapshotProposals;
    PoolDemands demands;
    // View of the fleet state up to `viewThrough`, rebuilt only when that state changes.
    maintenance::FleetView view;
    std::optional<Offset> viewThrough;
    std::vector<maintenance::Note> notes;
    std::vector<maintenance::Page> pages;
    std::map<WaveId, std::size_t> loggedDone;  // hosts done when the wave was last logged
    bool hadLease = false;
    TimePoint nextStep;
    TimePoint nextFleetStep;
    TimePoint nextHealthStep;
    Offset snapshotThrough = 0;
    TimePoint snapshotAt;
};

// Whether this process holds the fleet lease now, with the safety margin of the policy.
bool mayActNow(const WaveDriver &driver, const ControlCore &core);

// Performs one step. Call it several times per second.
void step(WaveDriver &driver, ControlCore &core);

// Called when the outcome of a control stream proposal is known, whatever it is.
void forgetProposal(WaveDriver &driver, const RecordId &record);

// Releases the fleet lease if this process holds it.
void releaseFleetLease(WaveDriver &driver, ControlCore &core);

}  // namespace poplarstream
