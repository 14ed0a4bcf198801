#include <algorithm>  // for find_if

#include "replay_step.hpp"  // for Replay
#include "run_index.hpp"  // for setStage, setClaim, mutableRun

namespace poplarstream {
namespace {

auto lostAttempt(Run &run, const FencingToken &token)
{
    return std::find_if(run.lostAttempts.begin(), run.lostAttempts.end(),
                        [&](const LostAttempt &attempt) { return attempt.token == token; });
}

void learnSize(RunsState &state, const Run &run, const RunFinished &finished)
{
    const auto ratio = [](double measured, double declared) {
        return declared > 0 ? measured / declared : 0;
    };
    const RunAccepted &accepted = run.accepted;
    const UsageRatios sample{ratio(finished.peak.cpus, accepted.declared.cpus),
                             ratio(static_cast<double>(finished.peak.memoryMegabytes),
                                   static_cast<double>(accepted.declared.memoryMegabytes)),
                             ratio(static_cast<double>(finished.ran.count()),
                                   static_cast<double>(accepted.declaredDuration.count()))};
    if (sample == UsageRatios{}) {
        return;
    }
    std::deque<UsageRatios> &samples = state.usageRatios[accepted.service];
    samples.push_back(sample);
    if (samples.size() > maxSamplesPerService) {
        samples.pop_front();
    }
}

// Why a claim of this run must not be released for this cause; empty when it may.
Reason releaseFault(const Run &run, const RunReleased &released)
{
    const bool isCancelling = run.stage == RunStage::Cancelling;
    switch (released.cause) {
    case ReleaseCause::NeverStarted:
        return run.claim && run.claim->token == released.token && run.claim->startedAt
                       ? "the start of the run is known"
                       : Reason{};
    case ReleaseCause::Checkpointed:
        return {};
    case ReleaseCause::Lost:
        return isCancelling ? "a lost attempt does not confirm a cancellation"
               : run.accepted.idempotent
                       ? Reason{}
                       : "the run is not idempotent and may have run at the lost worker";
    case ReleaseCause::Stopped:
    case ReleaseCause::Failed:
        return isCancelling || run.accepted.idempotent
                       ? Reason{}
                       : "the run is not idempotent and must not start twice";
    }
    return "the cause is not known";
}

// The attempt no longer stands in the way of a cancellation.
void settleCancellation(RunsState &state, Run &run)
{
    const bool isSettled = !run.claim && run.lostAttempts.empty();
    setStage(state, run, *next(run.stage, isSettled ? RunEvent::ConfirmCancel : RunEvent::Release));
}

}  // namespace

Reason Replay::operator()(const RunFinished &finished)
{
    Run *run = mutableRun(state, finished.run);
    if (!run) {
        return unknownRun;
    }
    const bool isLate = run->stage == RunStage::Cancelling
                        && lostAttempt(*run, finished.token) != run->lostAttempts.end();
    if (!holds(*run, finished.token) && !isLate) {
        return isFinal(run->stage) ? invalidStage(*run) : otherClaim;
    }
    const RunEvent event = finished.outcome == RunOutcome::Succeeded ? RunEvent::Succeed
                           : finished.outcome == RunOutcome::Failed  ? RunEvent::Fail
                                                                     : RunEvent::LoseTrack;
    const auto stage = next(run->stage, event);
    if (!stage) {
        return invalidStage(*run);
    }
    run->mayHaveStarted = true;
    if (event != RunEvent::LoseTrack && !isLate) {
        rememberOutcome(state, *run, run->claim->worker, event == RunEvent::Fail);
        learnSize(state, *run, finished);
    }
    run->result = finished.result;
    setStage(state, *run, *stage);
    return {};
}

Reason Replay::operator()(const RunReleased &released)
{
    Run *run = mutableRun(state, released.run);
    if (!run) {
        return unknownRun;
    }
    const auto lost = lostAttempt(*run, released.token);
    const bool isHeld = holds(*run, released.token);
    if (!isHeld && lost == run->lostAttempts.end()) {
        return isFinal(run->stage) ? invalidStage(*run) : otherClaim;
    }
    if (Reason fault = releaseFault(*run, released); !fault.empty()) {
        return fault;
    }
    if (!isHeld) {
        // A lost attempt is settled late; the run itself waits, runs elsewhere or is cancelled.
        if (released.cause == ReleaseCause::Lost) {
            return "the attempt is known as lost";
        }
        run->lostAttempts.erase(lost);
    } else {
        const Claim claim = *run->claim;
        run->mayHaveStarted |= released.cause != ReleaseCause::NeverStarted;
        if (released.cause == ReleaseCause::Lost) {
            run->lostAttempts.push_back({claim.token, claim.worker, claim.workerBoot});
            ++run->losses;
        }
        if (released.workerFault) {
            run->failedOn.push_back(claim.worker);
            rememberOutcome(state, *run, claim.worker, true);
        }
        if (!released.checkpoint.empty()) {
            run->checkpoint = released.checkpoint;
        }
        run->reason = released.reason;
        setClaim(state, *run, std::nullopt);
        if (run->stage != RunStage::Cancelling) {
            setStage(state, *run, *next(run->stage, RunEvent::Release));
        }
    }
    if (run->stage == RunStage::Cancelling) {
        settleCancellation(state, *run);
    }
    return {};
}

Reason Replay::operator()(const RunsCancelled &cancelled)
{
    for (const RunId &id : cancelled.runs) {
        Run *run = mutableRun(state, id);
        if (!run) {
            refuse(id, unknownRun);
            continue;
        }
        const bool isOutstanding = run->claim || !run->lostAttempts.empty();
        const auto stage =
                next(run->stage, isOutstanding ? RunEvent::CancelOutstanding : RunEvent::Cancel);
        if (!stage) {
            refuse(id, invalidStage(*run));
            continue;
        }
        run->reason = "The caller cancelled it.";
        setStage(state, *run, *stage);
    }
    return {};
}

Reason Replay::operator()(const RunDeadLettered &setAside)
{
    Run *run = mutableRun(state, setAside.run);
    if (!run) {
        return unknownRun;
    }
    const auto stage = next(run->stage, RunEvent::DeadLetter);
    if (!stage) {
        return invalidStage(*run);
    }
    run->reason = setAside.reason;
    setStage(state, *run, *stage);
    return {};
}

}  // namespace poplarstream
