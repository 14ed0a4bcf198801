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

// An arrival to append to the stream of another zone. When that append is answered, or the other
// zone tells that it holds the run, call recordArrivalConfirmed().
struct ArrivalProposal
{
    ZoneId to;
    RunReceived received;
};

// What an owner should do now. `entries` go to the zone's run stream, in few records
// (batchEntries), each passed to recordAppend() before it is sent. `commands` go to workers, and to
// recordCommands(); none may be sent after its validUntilOf(), which the sender checks against its
// clock right before each command, since it may have been paused in between.
struct RunDecision
{
    std::vector<RunEntry> entries;
    std::vector<WorkerCommand> commands;
    std::vector<ArrivalProposal> arrivals;
    std::vector<QuarantineProposal> quarantines;
    // Of all commands but renewals: the end of the owner's lease.
    TimePoint validUntil;
    TimePoint renewalsValidUntil;
    bool isSweep = false;
};

// One step of an owner. `now` is the owner's own clock. Nothing is changed; the caller passes what
// it carries out to the note functions of owner_memory.hpp, and recordDecision().
RunDecision decideRuns(const RunsState &state, const FleetView &fleet, const OwnerState &memory,
                       const RunPolicy &policy, TimePoint now, Random &random);

// When a command of the decision becomes too old to be sent. Renewals of task leases outlive the
// owner's lease: they start nothing, and the tasks of an owner that cannot reach the log go on.
TimePoint validUntilOf(const RunDecision &decision, const WorkerCommand &command);

// Keeps what decideRuns() needs to know of its own last step.
void recordDecision(OwnerState &memory, const RunsState &state, const RunDecision &decision,
                    TimePoint now);

// The entry with which a process that stops gives up its lease, so that others take over at once.
// The process must send no command afterwards.
OwnerLease endOfLease(const EntryHostId &owner);

}  // namespace poplarstream
