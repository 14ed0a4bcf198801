#include <algorithm>  // for find_if

#include "replay_step.hpp"  // for Replay
#include "run_index.hpp"  // for setStage, setClaim, findMutableRun

namespace poplarstream {
namespace {

auto findLostAttempt(Run &run, const FencingToken &token)
{
    return std::find_if(run.lostAttempts.begin(), run.lostAttempts.end(),
                        [&](const LostAttempt &attempt) { return attempt.token == token; });
}

void recordUsageRatios(RunsState &state, const Run &run, const RunFinished &finished)
{
    const auto ratio = [](double measured, double declared) {
        return declared > 0 ? measured / declared : 0;
    };
    const RunAccepted &accepted = run.accepted;
    const UsageRatios ratios{ratio(finished.peak.cpus, accepted.declared.cpus),
                             ratio(static_cast<double>(finished.peak.memoryMegabytes),
                                   static_cast<double>(accepted.declared.memoryMegabytes)),
                             ratio(static_cast<double>(finished.ran.count()),
                                   static_cast<double>(accepted.declaredDuration.count()))};
    if (ratios == UsageRatios{}) {
        return;
    }
    std::deque<UsageRatios> &samples = state.usageRatios[accepted.service];
    samples.push_back(ratios);
    if (samples.size() > maxSamplesPerService) {
        samples.pop_front();
    }
}

// Returns why the claim must not be released for this cause; empty if it may be.
RefusalReason releaseRefusal(const Run &run, const RunReleased &released)
{
    const bool isCancelling = run.stage == RunStage::Cancelling;
    switch (released.cause) {
    case ReleaseCause::NeverStarted:
        return run.claim && run.claim->token == released.token && run.claim->startedAt
                       ? "the start of the run is known"
                       : RefusalReason{};
    case ReleaseCause::Checkpointed:
        return {};
    case ReleaseCause::Lost:
        return isCancelling ? "a lost attempt does not confirm a cancellation"
               : run.accepted.idempotent
                       ? RefusalReason{}
                       : "the run is not idempotent and may have run at the lost worker";
    case ReleaseCause::Stopped:
    case ReleaseCause::Failed:
        return isCancelling || run.accepted.idempotent
                       ? RefusalReason{}
                       : "the run is not idempotent and must not start twice";
    }
    return "the cause is not known";
}

// Confirms the cancellation if no attempt is outstanding any more.
void settleCancellation(RunsState &state, Run &run)
{
    const bool isSettled = !run.claim && run.lostAttempts.empty();
    setStage(state, run, *next(run.stage, isSettled ? RunEvent::ConfirmCancel : RunEvent::Release));
}

}  // namespace

RefusalReason Replay::operator()(const RunFinished &finished)
{
    Run *run = findMutableRun(state, finished.run);
    if (!run) {
        return unknownRun;
    }
    const bool isLate = run->stage == RunStage::Cancelling
                        && findLostAttempt(*run, finished.token) != run->lostAttempts.end();
    if (!holdsClaim(*run, finished.token) && !isLate) {
        return isFinal(run->stage) ? invalidStage(*run) : staleToken;
    }
    const RunEvent event = finished.outcome == RunOutcome::Succeeded ? RunEvent::Succeed
                           : finished.outcome == RunOutcome::Failed  ? RunEvent::Fail
                                                                     : RunEvent::LoseOutcome;
    const auto stage = next(run->stage, event);
    if (!stage) {
        return invalidStage(*run);
    }
    run->mayHaveStarted = true;
    if (event != RunEvent::LoseOutcome && !isLate) {
        recordOutcome(state, *run, run->claim->worker, event == RunEvent::Fail);
        recordUsageRatios(state, *run, finished);
    }
    run->result = finished.result;
    setStage(state, *run, *stage);
    return {};
}

RefusalReason Replay::operator()(const RunReleased &released)
{
    Run *run = findMutableRun(state, released.run);
    if (!run) {
        return unknownRun;
    }
    const auto lost = findLostAttempt(*run, released.token);
    const bool isHeld = holdsClaim(*run, released.token);
    if (!isHeld && lost == run->lostAttempts.end()) {
        return isFinal(run->stage) ? invalidStage(*run) : staleToken;
    }
    if (RefusalReason refusal = releaseRefusal(*run, released); !refusal.empty()) {
        return refusal;
    }
    if (!isHeld) {
        // Settles a lost attempt; the run itself is waiting, running elsewhere or being cancelled.
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
            recordOutcome(state, *run, claim.worker, true);
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

RefusalReason Replay::operator()(const RunsCancelled &cancelled)
{
    for (const RunId &id : cancelled.runs) {
        Run *run = findMutableRun(state, id);
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

RefusalReason Replay::operator()(const RunDeadLettered &deadLettered)
{
    Run *run = findMutableRun(state, deadLettered.run);
    if (!run) {
        return unknownRun;
    }
    const auto stage = next(run->stage, RunEvent::DeadLetter);
    if (!stage) {
        return invalidStage(*run);
    }
    run->reason = deadLettered.reason;
    setStage(state, *run, *stage);
    return {};
}

}  // namespace poplarstream
