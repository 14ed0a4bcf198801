#include "poplarstream/runs/decide.hpp"

#include "poplarstream/runs/placement.hpp"  // for proposeClaims, isMine
#include "poplarstream/runs/queries.hpp"  // for liveOwners, isLeaseValid
#include "supervise.hpp"  // for DecisionStep, superviseClaim

namespace poplarstream {
namespace {

// One renewal at a time: while its outcome is unknown it is sent again under its id, so that an
// outage of the log leaves no pile of renewals behind.
bool isLeaseDue(const OwnerMemory &memory, const RunPolicy &policy, TimePoint now)
{
    for (const auto &[id, proposal] : memory.proposals.pending) {
        for (const RunEntry &entry : proposal.record.entries) {
            if (std::holds_alternative<OwnerLease>(entry)) {
                return false;
            }
        }
    }
    return memory.leaseUntil - now < policy.ownerLease - policy.ownerLeaseRenewal;
}

void superviseRuns(DecisionStep &step, std::span<const EntryHostId> owners)
{
    for (const std::uint64_t ordinal : step.state.active) {
        const Run &run = step.state.runs.find(ordinal)->second;
        if (run.claim) {
            if (run.claim->owner == step.memory.self) {
                superviseClaim(step, run);
            }
        } else if (isMine(owners, step.memory.self, run.id(), Milliseconds{0},
                          step.policy.ownerDelay)) {
            superviseLostAttempts(step, run);
        }
    }
}

}  // namespace

RunDecision decideRuns(const RunsState &state, const FleetView &fleet, const OwnerMemory &memory,
                       const RunPolicy &policy, TimePoint now, Random &random)
{
    RunDecision decision;
    decision.validUntil = memory.leaseUntil;
    decision.renewalsValidUntil = now + policy.taskLeaseRenewal;
    if (isLeaseDue(memory, policy, now)) {
        decision.entries.emplace_back(OwnerLease{memory.self, policy.ownerLease});
    }
    DecisionStep step{state, fleet, memory, policy, now, decision};
    if (now >= memory.leaseUntil || !isLeaseValid(state, memory.self)) {
        // In an outage of the log nobody can take the tasks over, so their leases are kept up.
        renewTaskLeases(step);
        return decision;
    }
    const std::vector<EntryHostId> owners = liveOwners(state);
    takeOver(step, owners);
    superviseRuns(step, owners);
    renewTaskLeases(step);
    relieveWorkers(step);
    deliverHandOvers(step, owners);
    if (now - memory.lastSweep >= policy.sweepInterval) {
        decision.isSweep = true;
        sweepWaiting(step, owners);
        decision.quarantines = proposeQuarantines(state, fleet, policy);
    }
    std::vector<RunEntry> claims = proposeClaims(state, fleet, memory, policy, now, random);
    decision.entries.insert(decision.entries.end(), std::make_move_iterator(claims.begin()),
                            std::make_move_iterator(claims.end()));
    return decision;
}

TimePoint validUntilOf(const RunDecision &decision, const WorkerCommand &command)
{
    return std::holds_alternative<RenewLeases>(command) ? decision.renewalsValidUntil
                                                        : decision.validUntil;
}

void noteDecision(OwnerMemory &memory, const RunsState &state, const RunDecision &decision,
                  TimePoint now)
{
    if (decision.isSweep) {
        memory.lastSweep = now;
        forgetSettled(memory, state);
    }
    // Silence of a worker is counted from when this owner learnt of the claim.
    for (const std::uint64_t ordinal : state.active) {
        const Run &run = state.runs.find(ordinal)->second;
        if (run.claim && run.claim->owner == memory.self) {
            noteKnown(memory, run.claim->token, now);
        }
        for (const LostAttempt &attempt : run.lostAttempts) {
            if (run.stage == RunStage::Cancelling) {
                noteKnown(memory, attempt.token, now);
            }
        }
    }
}

OwnerLease endOfLease(const EntryHostId &owner)
{
    return {owner, Milliseconds{0}};
}

}  // namespace poplarstream
