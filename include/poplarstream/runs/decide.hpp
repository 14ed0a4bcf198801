#pragma once

#include <utility>  // for pair
#include <vector>  // for vector

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/runs/owner_state.hpp"  // for OwnerState
#include "poplarstream/runs/quarantine.hpp"  // for QuarantineProposal
#include "poplarstream/runs/run_policy.hpp"  // for RunPolicy
#include "poplarstream/runs/worker_command.hpp"  // for WorkerCommand
#include "poplarstream/runs/worker_view.hpp"  // for FleetView

namespace poplarstream {

// An arrival to append to another zone's stream. Call recordArrivalConfirmed() when the append is
// acknowledged or the other zone reports that it holds the run.
struct ArrivalProposal
{
    ZoneId to;
    RunReceived received;
};

// The actions of one decision step. `entries` are appended to the zone's run stream, batched into
// few records (batchEntries); pass each record to recordAppend() before sending it. `commands` are
// sent to workers and passed to recordCommands(). None may be sent after its validUntilOf(): the
// sender checks its clock right before each command, since it may have been paused since the
// decision.
struct RunDecision
{
    std::vector<RunEntry> entries;
    std::vector<WorkerCommand> commands;
    std::vector<ArrivalProposal> arrivals;
    std::vector<QuarantineProposal> quarantines;
    // For all commands except lease renewals: the end of the owner's lease.
    TimePoint validUntil;
    TimePoint renewalsValidUntil;
    bool isSweep = false;
};

// Computes one step of an owner without side effects. `now` is read from the owner's own clock. The
// caller reports what it carries out through the record functions of owner_state.hpp and
// recordDecision().
RunDecision decideRuns(const RunsState &state, const FleetView &fleet, const OwnerState &ownerState,
                       const RunPolicy &policy, TimePoint now, Random &random);

// The time from which a command must no longer be sent. Task lease renewals stay valid beyond the
// owner's lease: they start nothing, and they keep the tasks running while the owner cannot reach
// the log.
TimePoint validUntilOf(const RunDecision &decision, const WorkerCommand &command);

// Records what decideRuns() needs to know about its previous step.
void recordDecision(OwnerState &ownerState, const RunsState &state, const RunDecision &decision,
                    TimePoint now);

// The entry that releases the lease of a process that shuts down, so that other owners can take
// over at once. The process must send no commands afterwards.
OwnerLease endOfLease(const EntryHostId &owner);

}  // namespace poplarstream
