#include "poplarstream/runs/decide.hpp"

#include "poplarstream/runs/placement.hpp"  // for proposeClaims, isResponsible
#include "poplarstream/runs/queries.hpp"  // for liveOwners, isLeaseValid
#include "supervise.hpp"  // for DecisionStep, superviseClaim

namespace poplarstream {
namespace {

// Only one renewal is pending at a time: while its outcome is unknown, it is repeated under the
// same id, so that renewals do not pile up during a log outage.
bool isLeaseRenewalDue(const OwnerState &ownerState, const RunPolicy &policy, TimePoint now)
{
    for (const auto &[id, proposal] : ownerState.proposals.pending) {
        for (const RunEntry &entry : proposal.record.entries) {
            if (std::holds_alternative<OwnerLease>(entry)) {
                return false;
            }
        }
    }
    return ownerState.leaseUntil - now < policy.ownerLease - policy.ownerLeaseRenewal;
}

void superviseRuns(DecisionStep &step, std::span<const EntryHostId> owners)
{
    for (const std::uint64_t ordinal : step.state.active) {
        const Run &run = step.state.runs.find(ordinal)->second;
        if (run.claim) {
            if (run.claim->owner == step.ownerState.self) {
                superviseClaim(step, run);
            }
        } else if (isResponsible(owners, step.ownerState.self, run.id(), Milliseconds{0},
                                 step.policy.ownerDelay)) {
            superviseLostAttempts(step, run);
        }
    }
}

}  // namespace

RunDecision decideRuns(const RunsState &state, const FleetView &fleet, const OwnerState &ownerState,
                       const RunPolicy &policy, TimePoint now, Random &random)
{
    RunDecision decision;
    decision.validUntil = ownerState.leaseUntil;
    decision.renewalsValidUntil = now + policy.taskLeaseRenewal;
    if (isLeaseRenewalDue(ownerState, policy, now)) {
        decision.entries.emplace_back(OwnerLease{ownerState.self, policy.ownerLease});
    }
    DecisionStep step{state, fleet, ownerState, policy, now, decision};
    if (now >= ownerState.leaseUntil || !isLeaseValid(state, ownerState.self)) {
        // During a log outage no other owner can take over the tasks, so their leases are still
        // renewed.
        renewTaskLeases(step);
        return decision;
    }
    const std::vector<EntryHostId> owners = liveOwners(state);
    takeOver(step, owners);
    superviseRuns(step, owners);
    renewTaskLeases(step);
    shedLoad(step);
    deliverHandOvers(step, owners);
    if (now - ownerState.lastSweep >= policy.sweepInterval) {
        decision.isSweep = true;
        sweepWaiting(step, owners);
        decision.quarantines = proposeQuarantines(state, fleet, policy);
    }
    std::vector<RunEntry> claims = proposeClaims(state, fleet, ownerState, policy, now, random);
    decision.entries.insert(decision.entries.end(), std::make_move_iterator(claims.begin()),
                            std::make_move_iterator(claims.end()));
    return decision;
}

TimePoint validUntilOf(const RunDecision &decision, const WorkerCommand &command)
{
    return std::holds_alternative<RenewLeases>(command) ? decision.renewalsValidUntil
                                                        : decision.validUntil;
}

void recordDecision(OwnerState &ownerState, const RunsState &state, const RunDecision &decision,
                    TimePoint now)
{
    if (decision.isSweep) {
        ownerState.lastSweep = now;
        eraseSettled(ownerState, state);
    }
    // A worker counts as unresponsive from when this owner learned of the claim at the earliest.
    for (const std::uint64_t ordinal : state.active) {
        const Run &run = state.runs.find(ordinal)->second;
        if (run.claim && run.claim->owner == ownerState.self) {
            recordKnownAttempt(ownerState, run.claim->token, now);
        }
        for (const LostAttempt &attempt : run.lostAttempts) {
            if (run.stage == RunStage::Cancelling) {
                recordKnownAttempt(ownerState, attempt.token, now);
            }
        }
    }
}

OwnerLease endOfLease(const EntryHostId &owner)
{
    return {owner, Milliseconds{0}};
}

}  // namespace poplarstream
