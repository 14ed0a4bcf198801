#pragma once

#include "poplarstream/runs/decide.hpp"  // for RunDecision

namespace poplarstream {

// What the parts of a decision read and add to.
struct DecisionStep
{
    const RunsState &state;
    const FleetView &fleet;
    const OwnerState &memory;
    const RunPolicy &policy;
    TimePoint now;
    RunDecision &decision;

    const OwnerTaskState *findTask(const FencingToken &token) const
    {
        const auto found = memory.tasks.find(token);
        return found == memory.tasks.end() ? nullptr : &found->second;
    }
    bool isDue(const std::optional<TimePoint> &sentAt) const
    {
        return !sentAt || now - *sentAt >= policy.commandRetry;
    }
};

// Steps the run that this owner holds a claim of: start, revoke, stop, record its start or end.
void superviseClaim(DecisionStep &step, const Run &run);

// Settles attempts at lost workers for a run that is being cancelled.
void superviseLostAttempts(DecisionStep &step, const Run &run);

// Extends the task leases of this owner's running tasks.
void renewTaskLeases(DecisionStep &step);

// Throttles, checkpoints or stops own tasks on workers that are about to be overfull, and
// checkpoints those on workers that drain.
void shedLoad(DecisionStep &step);

// Takes over claims whose owner's lease lapsed.
void takeOver(DecisionStep &step, std::span<const EntryHostId> owners);

// Sets aside runs without attempts left or that no worker of any zone can hold; hands over those
// that only another zone can hold.
void sweepWaiting(DecisionStep &step, std::span<const EntryHostId> owners);

// Sends hand-overs to their zones and confirms those that arrived.
void deliverHandOvers(DecisionStep &step, std::span<const EntryHostId> owners);

}  // namespace poplarstream
