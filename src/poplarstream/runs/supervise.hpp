#pragma once

#include "poplarstream/runs/decide.hpp"  // for RunDecision

namespace poplarstream {

// The inputs and the output that the parts of a decision share.
struct DecisionStep
{
    const RunsState &state;
    const FleetView &fleet;
    const OwnerState &ownerState;
    const RunPolicy &policy;
    TimePoint now;
    RunDecision &decision;

    const OwnerTaskState *findTask(const FencingToken &token) const
    {
        const auto found = ownerState.tasks.find(token);
        return found == ownerState.tasks.end() ? nullptr : &found->second;
    }
    bool isDue(const std::optional<TimePoint> &sentAt) const
    {
        return !sentAt || now - *sentAt >= policy.commandRetryInterval;
    }
};

// Advances a run that this owner has claimed: starts, revokes or stops it, or records its start or
// completion.
void superviseClaim(DecisionStep &step, const Run &run);

// Settles the attempts on lost workers of a run that is being cancelled.
void superviseLostAttempts(DecisionStep &step, const Run &run);

// Renews the leases of this owner's running tasks.
void renewTaskLeases(DecisionStep &step);

// Throttles, checkpoints or stops this owner's tasks on workers that are about to be overloaded,
// and checkpoints those on draining workers.
void shedLoad(DecisionStep &step);

// Takes over claims whose owner's lease has expired.
void takeOver(DecisionStep &step, std::span<const EntryHostId> owners);

// Dead-letters runs that have no attempts left or fit on no worker of any zone; hands over runs
// that fit only in another zone.
void sweepWaiting(DecisionStep &step, std::span<const EntryHostId> owners);

// Sends handed-over runs to their zones and confirms those that have arrived.
void deliverHandOvers(DecisionStep &step, std::span<const EntryHostId> owners);

}  // namespace poplarstream
