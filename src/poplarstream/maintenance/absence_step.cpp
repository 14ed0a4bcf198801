#include "absence_step.hpp"

#include <fmt/format.h>  // for format

#include <algorithm>  // for find_if

namespace poplarstream::maintenance {
namespace {

// The input and output of a step for the absence of one host.
struct AbsenceContext
{
    const StepInput &input;
    const HostView &host;
    const HostObservation &observation;
    bool mayPropose;
    StepOutput &output;
};

// Without the lease, only commands that finish an absence are issued, because another holder may be
// acting on the same host.
void issueCommand(const AbsenceContext &context, CommandKind kind)
{
    const bool isFinishing = kind == CommandKind::Probe || kind == CommandKind::Undrain;
    if (!context.input.holdsLease && !isFinishing) {
        return;
    }
    const Offset grant =
            context.host.grant ? context.host.grant->offset : context.observation.hostGrant;
    context.output.commands.push_back({kind, context.host.id, grant});
}

void proposePhase(const AbsenceContext &context, AbsencePhase phase)
{
    context.output.proposals.emplace_back(
            AbsenceProgress{context.host.id, context.host.grant->offset, phase});
}

void addNote(const AbsenceContext &context, std::string text)
{
    context.output.notes.push_back({context.host.id.text(), std::move(text)});
}

enum class GrantStatus { Needed, Outdated, Withdrawn };

// Whether the wave still needs the granted absence. A grant for a wave that is not in the view (it
// was removed from the configuration) counts as withdrawn; a grant without a wave returns a loan.
// Loans are needed as long as their wave exists, since their target differs from that of the wave.
GrantStatus grantStatus(const AbsenceContext &context)
{
    const Grant &grant = *context.host.grant;
    if (grant.wave.isEmpty()) {
        return GrantStatus::Needed;
    }
    const auto &waves = context.input.fleet.waves;
    const auto it = std::find_if(waves.begin(), waves.end(),
                                 [&](const WaveView &wave) { return wave.id == grant.wave; });
    if (it == waves.end()) {
        return GrantStatus::Withdrawn;
    }
    const auto isLoanOf = [&](const Loan &loan) { return loan.host == context.host.id; };
    if (std::any_of(it->loans.begin(), it->loans.end(), isLoanOf)) {
        return GrantStatus::Needed;
    }
    if (it->state == WaveState::Withdrawn) {
        return GrantStatus::Withdrawn;
    }
    const bool isLoan =
            std::find(it->pools.begin(), it->pools.end(), grant.target) != it->pools.end();
    const bool isMoveOfWave = hasMove(grant.kind) && hasMove(it->action) && !isLoan;
    return isMoveOfWave && grant.target != it->target ? GrantStatus::Outdated : GrantStatus::Needed;
}

// Whether the host is ready for work and can no longer be taken away by a delayed drain or reboot
// of this grant. An absence ends in the log only then; otherwise the host could be away without
// being counted.
bool isReturnConfirmed(const AbsenceContext &context)
{
    return context.observation.undrainedGrant == context.host.grant->offset
           && context.observation.hasProbeSucceeded && !context.observation.isDraining
           && !context.observation.unansweredSince;
}

// Puts a host that has not left yet back in service. Once this has been reported, its absence ends
// like any other.
void abandonDrain(const AbsenceContext &context, std::string reason)
{
    addNote(context, std::move(reason));
    if (isReturnConfirmed(context)) {
        if (context.mayPropose) {
            proposePhase(context, AbsencePhase::Abandoned);
        }
    } else if (context.input.holdsLease) {
        issueCommand(context, CommandKind::Undrain);
        issueCommand(context, CommandKind::Probe);
    }
}

void stepDraining(const AbsenceContext &context)
{
    if (grantStatus(context) != GrantStatus::Needed) {
        abandonDrain(context, "the wave was withdrawn or changed before the host left");
        return;
    }
    const Policy &policy = context.input.fleet.policy;
    const Milliseconds waited = context.input.now - context.host.stateSince;
    if (context.observation.isDrained) {
        if (context.mayPropose) {
            // Both in one step: the log keeps their order, and if the first is lost, the second is
            // refused.
            proposePhase(context, AbsencePhase::Drained);
            proposePhase(context, AbsencePhase::Away);
        }
        return;
    }
    if (waited >= policy.drainTimeout * (1 + policy.drainExtensions)) {
        abandonDrain(context, "work in progress exceeded the drain timeout and its extensions");
        return;
    }
    if (context.observation.unansweredSince
        && context.input.now - *context.observation.unansweredSince >= policy.failureTimeout) {
        if (context.mayPropose) {
            context.output.proposals.emplace_back(
                    HostHealth{context.host.id, true, "did not answer during its drain"});
        }
        return;
    }
    if (waited >= policy.drainTimeout) {
        addNote(context, fmt::format("the drain was extended {} times for work in progress",
                                     waited / policy.drainTimeout));
    }
    issueCommand(context, CommandKind::Drain);
}

void stepDrained(const AbsenceContext &context)
{
    if (grantStatus(context) != GrantStatus::Needed) {
        abandonDrain(context, "the wave was withdrawn or changed before the host left");
    } else if (context.mayPropose) {
        proposePhase(context, AbsencePhase::Away);
    }
}

// Reports the host as failed after the timeout. The page key limits this to one page per absence.
bool failIfOverdue(const AbsenceContext &context)
{
    const Milliseconds waited = context.input.now - context.host.stateSince;
    if (waited < context.input.fleet.policy.returnTimeout) {
        return false;
    }
    if (context.mayPropose) {
        context.output.proposals.emplace_back(
                HostHealth{context.host.id, true, "did not come back from an absence"});
        context.output.pages.push_back(
                {fmt::format("abandoned:{}:{}", context.host.id.text(), context.host.grant->offset),
                 fmt::format("host {} did not come back within {} s and counts as failed",
                             context.host.id.text(), waited.count() / 1000)});
    }
    return true;
}

bool isMovePending(const AbsenceContext &context)
{
    const Grant &grant = *context.host.grant;
    return hasMove(grant.kind) && context.host.pool != grant.target
           && grantStatus(context) == GrantStatus::Needed;
}

void stepAway(const AbsenceContext &context)
{
    if (failIfOverdue(context)) {
        return;
    }
    const Grant &grant = *context.host.grant;
    if (isMovePending(context) && context.mayPropose) {
        context.output.proposals.emplace_back(
                HostMove{context.host.id, context.host.pool, grant.target});
    }
    if (hasReboot(grant.kind) && !context.observation.hasRebooted) {
        if (context.observation.isDrained && !context.observation.unansweredSince) {
            issueCommand(context, CommandKind::Reboot);
        } else {
            issueCommand(context, CommandKind::Probe);
        }
        return;
    }
    if (!isMovePending(context)) {
        if (context.mayPropose) {
            proposePhase(context, AbsencePhase::Returning);
        }
        issueCommand(context, CommandKind::Undrain);
        issueCommand(context, CommandKind::Probe);
    }
}

void stepReturning(const AbsenceContext &context)
{
    if (isReturnConfirmed(context)) {
        if (context.mayPropose) {
            proposePhase(context, AbsencePhase::Returned);
        }
        return;
    }
    if (failIfOverdue(context)) {
        return;
    }
    issueCommand(context, CommandKind::Undrain);
    issueCommand(context, CommandKind::Probe);
}

void stepFailed(const AbsenceContext &context)
{
    if (context.observation.hasProbeSucceeded && !context.observation.isDraining
        && !context.observation.unansweredSince) {
        if (context.mayPropose) {
            context.output.proposals.emplace_back(
                    HostHealth{context.host.id, false, "the probe succeeded"});
        }
        return;
    }
    issueCommand(context, CommandKind::Undrain);
    issueCommand(context, CommandKind::Probe);
}

}  // namespace

void stepAbsence(const StepInput &input, const HostView &host, const HostObservation *observation,
                 bool isInFlight, StepOutput &output)
{
    const HostObservation noObservation;
    const bool matchesGrant =
            observation != nullptr && (!host.grant || observation->grant == host.grant->offset);
    const AbsenceContext context{input, host, matchesGrant ? *observation : noObservation,
                                 input.holdsLease && input.isLogAvailable && !isInFlight, output};
    if (host.state == HostState::Failed) {
        stepFailed(context);
        return;
    }
    if (!host.grant) {
        return;
    }
    switch (host.state) {
    case HostState::Draining:
        stepDraining(context);
        break;
    case HostState::Drained:
        stepDrained(context);
        break;
    case HostState::Away:
        stepAway(context);
        break;
    case HostState::Returning:
        stepReturning(context);
        break;
    case HostState::InService:
    case HostState::Failed:
        break;
    }
}

}  // namespace poplarstream::maintenance
