#pragma once

#include <optional>  // for optional
#include <vector>  // for vector

#include "control_core.hpp"  // for ControlCore
#include "poplarstream/node/run_calls.hpp"  // for AcceptanceTable
#include "poplarstream/runs/run_policy.hpp"  // for RunPolicy

namespace poplarstream {

// The part of the control duty that accepts runs, claims them, and looks after their workers.
struct RunDriver
{
    RunPolicy policy;
    // The view of the fleet state through `viewThrough`, made anew only when that state changes.
    FleetView view;
    std::optional<Offset> viewThrough;
    AcceptanceTable acceptances;
    // Entries that wait for the next append; they travel in one record.
    std::vector<RunEntry> queued;
    std::vector<AwaitedAcceptance> queuedCalls;
    std::vector<RunId> queuedCancellations;
    std::optional<RecordId> quarantineInFlight;
    std::uint64_t acceptedCount = 0;
    TimePoint nextStep;
    TimePoint nextPoll;
    Offset snapshotThrough = 0;
    TimePoint snapshotAt;
    std::vector<RecordId> snapshotProposals;
};

// Takes a call of this zone or passes it on to the zone that holds the run.
void handleCall(RunDriver &driver, ControlCore &core, RunCall &&call);

// Appends what is queued. Called after each batch of inputs.
void flush(RunDriver &driver, ControlCore &core);

// Decides on runs and polls workers; to be called several times a second.
void step(RunDriver &driver, ControlCore &core);

// A record of the run stream was applied.
void onApplied(RunDriver &driver, ControlCore &core, const Logged<RunRecord> &logged,
               const ApplyResult &applied);

// A record of the run stream certainly never enters the log.
void onNeverAppended(RunDriver &driver, ControlCore &core, const RecordId &record,
                     std::string_view reason);

// Gives up the owner lease.
void releaseOwnership(RunDriver &driver, ControlCore &core);

}  // namespace poplarstream
