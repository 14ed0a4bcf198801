#pragma once

#include <optional>  // for optional
#include <vector>  // for vector

#include "control_core.hpp"  // for ControlCore
#include "poplarstream/node/run_calls.hpp"  // for AcceptanceTable
#include "poplarstream/runs/run_policy.hpp"  // for RunPolicy

namespace poplarstream {

// The part of the control duty that accepts and claims runs and polls their workers.
struct RunDriver
{
    RunPolicy policy;
    // View of the fleet state up to `viewThrough`, rebuilt only when that state changes.
    FleetView view;
    std::optional<Offset> viewThrough;
    AcceptanceTable acceptances;
    // Entries for the next append, which writes them together.
    std::vector<RunEntry> queued;
    std::vector<PendingAcceptance> queuedCalls;
    std::vector<RunId> queuedCancellations;
    std::optional<RecordId> quarantineInFlight;
    std::uint64_t acceptedCount = 0;
    TimePoint nextStep;
    TimePoint nextPoll;
    Offset snapshotThrough = 0;
    TimePoint snapshotAt;
    std::vector<RecordId> snapshotProposals;
};

// Handles a call for this zone or forwards it to the zone that holds the run.
void handleCall(RunDriver &driver, ControlCore &core, RunCall &&call);

// Appends the queued entries. Called after each batch of inputs.
void flush(RunDriver &driver, ControlCore &core);

// Makes the decisions about runs and polls workers. Call it several times per second.
void step(RunDriver &driver, ControlCore &core);

// Called after a record of the run stream was applied.
void onApplied(RunDriver &driver, ControlCore &core, const Logged<RunRecord> &logged,
               const ApplyResult &applied);

// Called when it is known that a record of the run stream never enters the log.
void onNeverAppended(RunDriver &driver, ControlCore &core, const RecordId &record,
                     std::string_view reason);

// Flushes the queue and releases the owner lease.
void releaseOwnership(RunDriver &driver, ControlCore &core);

}  // namespace poplarstream
