#include "absence_step.hpp"

#include <fmt/format.h>  // for format

#include <algorithm>  // for find_if

namespace poplarstream::maintenance {
namespace {

// The parts of a step that concern one absence.
struct Scene
{
    const StepInput &input;
    const HostView &host;
    const HostObservation &seen;
    bool mayPropose;
    StepOutput &output;
};

// Without the lease only the commands that finish an absence are given: another holder may act on
// the same host.
void command(const Scene &scene, CommandKind kind)
{
    const bool isFinishing = kind == CommandKind::Probe || kind == CommandKind::Undrain;
    if (!scene.input.holdsLease && !isFinishing) {
        return;
    }
    const Offset grant = scene.host.grant ? scene.host.grant->offset : scene.seen.hostGrant;
    scene.output.commands.push_back({kind, scene.host.id, grant});
}

void report(const Scene &scene, AbsencePhase phase)
{
    scene.output.proposals.emplace_back(
            AbsenceProgress{scene.host.id, scene.host.grant->offset, phase});
}

void note(const Scene &scene, std::string text)
{
    scene.output.notes.push_back({scene.host.id.text(), std::move(text)});
}

enum class Standing { Wanted, Stale, Withdrawn };

// Whether the wave still wants what was granted. A request of no wave of the view (the wave was
// removed from the configuration) counts as withdrawn; one without a wave returns a loan. Loans are
// wanted as long as their wave is there: their target is not that of the wave.
Standing standingOf(const Scene &scene)
{
    const Grant &grant = *scene.host.grant;
    if (grant.wave.isEmpty()) {
        return Standing::Wanted;
    }
    const auto &waves = scene.input.fleet.waves;
    const auto it = std::find_if(waves.begin(), waves.end(),
                                 [&](const WaveView &wave) { return wave.id == grant.wave; });
    if (it == waves.end()) {
        return Standing::Withdrawn;
    }
    const auto isLoanOf = [&](const Loan &loan) { return loan.host == scene.host.id; };
    if (std::any_of(it->loans.begin(), it->loans.end(), isLoanOf)) {
        return Standing::Wanted;
    }
    if (it->state == WaveState::Withdrawn) {
        return Standing::Withdrawn;
    }
    const bool isLoan =
            std::find(it->pools.begin(), it->pools.end(), grant.target) != it->pools.end();
    const bool isMoveOfWave = hasMove(grant.kind) && hasMove(it->action) && !isLoan;
    return isMoveOfWave && grant.target != it->target ? Standing::Stale : Standing::Wanted;
}

// Whether the host is fit for work and a late drain or reboot of this grant can no longer take it
// away: an absence ends in the log only then, or the host could be away uncounted.
bool isBackForGood(const Scene &scene)
{
    return scene.seen.undrainedGrant == scene.host.grant->offset && scene.seen.hasProbeSucceeded
           && !scene.seen.isDraining && !scene.seen.unansweredSince;
}

// Lets a host that has not gone yet back to work; once reported, its absence ends like any other.
void giveUpDrain(const Scene &scene, std::string reason)
{
    note(scene, std::move(reason));
    if (isBackForGood(scene)) {
        if (scene.mayPropose) {
            report(scene, AbsencePhase::Abandoned);
        }
    } else if (scene.input.holdsLease) {
        command(scene, CommandKind::Undrain);
        command(scene, CommandKind::Probe);
    }
}

void stepDraining(const Scene &scene)
{
    if (standingOf(scene) != Standing::Wanted) {
        giveUpDrain(scene, "the wave was withdrawn or changed before the host had gone");
        return;
    }
    const Policy &policy = scene.input.fleet.policy;
    const Milliseconds waited = scene.input.now - scene.host.stateSince;
    if (scene.seen.isDrained) {
        if (scene.mayPropose) {
            // Both in one step: the log keeps their order, and a lost first one refuses the second.
            report(scene, AbsencePhase::Drained);
            report(scene, AbsencePhase::Away);
        }
        return;
    }
    if (waited >= policy.drainBound * (1 + policy.drainExtensions)) {
        giveUpDrain(scene, "work in progress outlasted the bound of the drain and its extensions");
        return;
    }
    if (scene.seen.unansweredSince
        && scene.input.now - *scene.seen.unansweredSince >= policy.failAfter) {
        if (scene.mayPropose) {
            scene.output.proposals.emplace_back(
                    HostHealth{scene.host.id, true, "did not answer during its drain"});
        }
        return;
    }
    if (waited >= policy.drainBound) {
        note(scene, fmt::format("the drain was extended {} times for work in progress",
                                waited / policy.drainBound));
    }
    command(scene, CommandKind::Drain);
}

void stepDrained(const Scene &scene)
{
    if (standingOf(scene) != Standing::Wanted) {
        giveUpDrain(scene, "the wave was withdrawn or changed before the host had gone");
    } else if (scene.mayPropose) {
        report(scene, AbsencePhase::Away);
    }
}

// Counts the host as failed after the bound. One page for each absence, by its key.
bool abandonIfOverdue(const Scene &scene)
{
    const Milliseconds waited = scene.input.now - scene.host.stateSince;
    if (waited < scene.input.fleet.policy.returnBound) {
        return false;
    }
    if (scene.mayPropose) {
        scene.output.proposals.emplace_back(
                HostHealth{scene.host.id, true, "did not come back from an absence"});
        scene.output.pages.push_back(
                {fmt::format("abandoned:{}:{}", scene.host.id.text(), scene.host.grant->offset),
                 fmt::format("host {} did not come back within {} s and counts as failed",
                             scene.host.id.text(), waited.count() / 1000)});
    }
    return true;
}

bool isMovePending(const Scene &scene)
{
    const Grant &grant = *scene.host.grant;
    return hasMove(grant.kind) && scene.host.pool != grant.target
           && standingOf(scene) == Standing::Wanted;
}

void stepAway(const Scene &scene)
{
    if (abandonIfOverdue(scene)) {
        return;
    }
    const Grant &grant = *scene.host.grant;
    if (isMovePending(scene) && scene.mayPropose) {
        scene.output.proposals.emplace_back(HostMove{scene.host.id, scene.host.pool, grant.target});
    }
    if (hasReboot(grant.kind) && !scene.seen.hasRebooted) {
        if (scene.seen.isDrained && !scene.seen.unansweredSince) {
            command(scene, CommandKind::Reboot);
        } else {
            command(scene, CommandKind::Probe);
        }
        return;
    }
    if (!isMovePending(scene)) {
        if (scene.mayPropose) {
            report(scene, AbsencePhase::Returning);
        }
        command(scene, CommandKind::Undrain);
        command(scene, CommandKind::Probe);
    }
}

void stepReturning(const Scene &scene)
{
    if (isBackForGood(scene)) {
        if (scene.mayPropose) {
            report(scene, AbsencePhase::Returned);
        }
        return;
    }
    if (abandonIfOverdue(scene)) {
        return;
    }
    command(scene, CommandKind::Undrain);
    command(scene, CommandKind::Probe);
}

void stepFailed(const Scene &scene)
{
    if (scene.seen.hasProbeSucceeded && !scene.seen.isDraining && !scene.seen.unansweredSince) {
        if (scene.mayPropose) {
            scene.output.proposals.emplace_back(
                    HostHealth{scene.host.id, false, "the probe succeeded"});
        }
        return;
    }
    command(scene, CommandKind::Undrain);
    command(scene, CommandKind::Probe);
}

}  // namespace

void stepAbsence(const StepInput &input, const HostView &host, const HostObservation *observation,
                 bool isInFlight, StepOutput &output)
{
    const HostObservation nothing;
    const bool isOfGrant =
            observation != nullptr && (!host.grant || observation->grant == host.grant->offset);
    const Scene scene{input, host, isOfGrant ? *observation : nothing,
                      input.holdsLease && input.isLogAvailable && !isInFlight, output};
    if (host.state == HostState::Failed) {
        stepFailed(scene);
        return;
    }
    if (!host.grant) {
        return;
    }
    switch (host.state) {
    case HostState::Draining:
        stepDraining(scene);
        break;
    case HostState::Drained:
        stepDrained(scene);
        break;
    case HostState::Away:
        stepAway(scene);
        break;
    case HostState::Returning:
        stepReturning(scene);
        break;
    case HostState::InService:
    case HostState::Failed:
        break;
    }
}

}  // namespace poplarstream::maintenance
