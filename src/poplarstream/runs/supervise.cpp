#include "supervise.hpp"

#include <map>  // for map

namespace poplarstream {
namespace {

TaskRef taskRefOf(const Run &run)
{
    return {run.id(), run.claim->token, run.claim->worker};
}

bool isDifferentBoot(std::uint64_t claimed, std::uint64_t reported)
{
    return claimed != 0 && reported != 0 && claimed != reported;
}

enum class WorkerReachability { Reachable, Lost, GivenUp };

// Whether the worker of an attempt can still report on it. A worker that was removed from the
// configuration counts as unresponsive since this owner learned of the claim.
WorkerReachability reachabilityOf(const DecisionStep &step, const HostId &host, std::uint64_t boot,
                                  TimePoint knownSince)
{
    const WorkerView *worker = findWorker(step.fleet, host);
    if (worker && isDifferentBoot(boot, worker->boot)) {
        return WorkerReachability::GivenUp;
    }
    const Milliseconds unresponsiveFor =
            step.now - (worker ? std::max(worker->lastHeard, knownSince) : knownSince);
    return unresponsiveFor >= step.policy.workerGivenUpAfter ? WorkerReachability::GivenUp
           : unresponsiveFor >= step.policy.workerLostAfter  ? WorkerReachability::Lost
                                                             : WorkerReachability::Reachable;
}

void finish(DecisionStep &step, const Run &run, RunOutcome outcome,
            const TaskObservation *observation)
{
    RunFinished finished{run.id(), run.claim->token, outcome, {}, {}, Milliseconds{0}};
    if (observation) {
        finished.result = observation->result;
        finished.peak = observation->peak;
        finished.ran = observation->ran;
    }
    step.decision.entries.emplace_back(std::move(finished));
}

void release(DecisionStep &step, const Run &run, ReleaseCause cause, std::string reason,
             std::string checkpoint = {})
{
    step.decision.entries.emplace_back(RunReleased{run.id(), run.claim->token,
                                                   cause == ReleaseCause::Failed, std::move(reason),
                                                   cause, std::move(checkpoint)});
}

// Ends an attempt whose outcome can no longer be determined.
void giveUp(DecisionStep &step, const Run &run, std::string reason)
{
    if (run.accepted.idempotent && run.stage != RunStage::Cancelling) {
        release(step, run, ReleaseCause::Lost, std::move(reason));
    } else {
        finish(step, run, RunOutcome::MayHaveRun, nullptr);
    }
}

void fail(DecisionStep &step, const Run &run, const TaskObservation &observation)
{
    if (!run.accepted.idempotent) {
        finish(step, run, RunOutcome::Failed, &observation);
        return;
    }
    release(step, run, ReleaseCause::Failed, "The run failed at its worker.");
    if (run.stage != RunStage::Cancelling && run.failedOn.size() + 1 >= maxFailedAttempts) {
        step.decision.entries.emplace_back(
                RunDeadLettered{run.id(), "The run failed on several workers."});
    }
}

// Whether the attempt has definitely not started, even if the worker has lost its state since: the
// process that made the claim has sent no start, or its only start was refused.
bool hasDefinitelyNotStarted(const Run &run, const OwnerTaskState *task)
{
    return task && task->isOwnClaim && !run.claim->startedAt && !run.accepted.idempotent
           && (!task->startSentAt || task->isStartRefused);
}

void revoke(DecisionStep &step, const Run &run, const OwnerTaskState *task)
{
    if (step.isDue(task ? task->revokeSentAt : std::nullopt)) {
        step.decision.commands.emplace_back(RevokeTask{taskRefOf(run)});
    }
}

void start(DecisionStep &step, const Run &run)
{
    const Claim &claim = *run.claim;
    step.decision.commands.emplace_back(
            StartTask{taskRefOf(run), claim.workerBoot, run.accepted.service, run.accepted.payload,
                      run.checkpoint, claim.reserved, step.policy.taskLease});
}

// Handles a task of which the worker has reported nothing but a refused start.
void superviseUnobserved(DecisionStep &step, const Run &run, const OwnerTaskState *task)
{
    const bool isRefused = task && task->observation;
    if (run.stage != RunStage::Claimed || isRefused || (task && task->revokeSentAt)) {
        revoke(step, run, task);
        return;
    }
    const WorkerView *worker = findWorker(step.fleet, run.claim->worker);
    if (worker && isDifferentBoot(run.claim->workerBoot, worker->boot)) {
        return;
    }
    // The start of a non-idempotent run is sent once, and only by the process that read back its
    // own claim: no other process can know whether it was already sent.
    const bool isOwnClaim = task && task->isOwnClaim;
    const bool mayStart = run.accepted.idempotent || isOwnClaim;
    const bool isSent = task && task->startSentAt;
    const bool isUnanswered = isSent && step.now - task->knownSince >= step.policy.startTimeout;
    if (!mayStart || isUnanswered) {
        revoke(step, run, task);
    } else if (!isSent || (run.accepted.idempotent && step.isDue(task->startSentAt))) {
        start(step, run);
    }
}

void superviseRunning(DecisionStep &step, const Run &run, const OwnerTaskState &task)
{
    if (!run.claim->startedAt) {
        step.decision.entries.emplace_back(RunStarted{run.id(), run.claim->token});
    }
    if (run.stage == RunStage::Cancelling && step.isDue(task.stopSentAt)) {
        step.decision.commands.emplace_back(StopTask{taskRefOf(run)});
    }
}

void superviseObserved(DecisionStep &step, const Run &run, const OwnerTaskState &task)
{
    const TaskObservation &observation = *task.observation;
    switch (observation.state) {
    case TaskState::Refused:
        superviseUnobserved(step, run, &task);
        return;
    case TaskState::Running:
        superviseRunning(step, run, task);
        return;
    case TaskState::Succeeded:
        finish(step, run, RunOutcome::Succeeded, &observation);
        return;
    case TaskState::Failed:
        fail(step, run, observation);
        return;
    case TaskState::Checkpointed:
        release(step, run, ReleaseCause::Checkpointed, "The run was stopped at a checkpoint.",
                observation.checkpoint);
        return;
    case TaskState::Stopped:
        if (run.accepted.idempotent || run.stage == RunStage::Cancelling) {
            release(step, run, ReleaseCause::Stopped, "The run was stopped at its worker.");
        } else {
            finish(step, run, RunOutcome::MayHaveRun, &observation);
        }
        return;
    case TaskState::NeverStarted:
        // A worker that restarted, or that denies a recorded start, has lost its state.
        if (run.claim->startedAt
            || (isDifferentBoot(run.claim->workerBoot, observation.workerBoot)
                && !hasDefinitelyNotStarted(run, &task))) {
            giveUp(step, run, "The worker restarted.");
        } else {
            release(step, run, ReleaseCause::NeverStarted, "The worker did not start the run.");
        }
        return;
    }
}

}  // namespace

void superviseClaim(DecisionStep &step, const Run &run)
{
    if (isPending(step.ownerState.proposals, run.id())) {
        return;
    }
    const Claim &claim = *run.claim;
    const OwnerTaskState *task = step.findTask(claim.token);
    const bool isCompleted = task && task->observation
                             && task->observation->state != TaskState::Running
                             && task->observation->state != TaskState::Refused;
    if (isCompleted) {
        superviseObserved(step, run, *task);
        return;
    }
    const WorkerReachability reachability = reachabilityOf(step, claim.worker, claim.workerBoot,
                                                           task ? task->knownSince : step.now);
    const bool canRepeat = run.accepted.idempotent && run.stage != RunStage::Cancelling;
    if (reachability == WorkerReachability::GivenUp
        || (reachability == WorkerReachability::Lost && canRepeat)) {
        if (hasDefinitelyNotStarted(run, task)) {
            release(step, run, ReleaseCause::NeverStarted, "The worker was lost before the start.");
        } else {
            giveUp(step, run, "The worker was lost.");
        }
    } else if (task && task->observation) {
        superviseObserved(step, run, *task);
    } else {
        superviseUnobserved(step, run, task);
    }
}

void superviseLostAttempts(DecisionStep &step, const Run &run)
{
    if (isPending(step.ownerState.proposals, run.id())) {
        return;
    }
    for (const LostAttempt &attempt : run.lostAttempts) {
        const TaskRef ref{run.id(), attempt.token, attempt.worker};
        const OwnerTaskState *task = step.findTask(attempt.token);
        const auto settle = [&](ReleaseCause cause) {
            step.decision.entries.emplace_back(RunReleased{
                    run.id(), attempt.token, false, "The lost attempt was settled.", cause, {}});
        };
        if (task && task->observation) {
            switch (task->observation->state) {
            case TaskState::NeverStarted:
                settle(ReleaseCause::NeverStarted);
                return;
            case TaskState::Stopped:
            case TaskState::Checkpointed:
            case TaskState::Failed:
                settle(ReleaseCause::Stopped);
                return;
            case TaskState::Succeeded:
                step.decision.entries.emplace_back(RunFinished{
                        run.id(), attempt.token, RunOutcome::Succeeded, task->observation->result,
                        task->observation->peak, task->observation->ran});
                return;
            case TaskState::Running:
            case TaskState::Refused:
                break;
            }
        }
        const WorkerReachability reachability = reachabilityOf(
                step, attempt.worker, attempt.workerBoot, task ? task->knownSince : step.now);
        if (reachability == WorkerReachability::GivenUp) {
            step.decision.entries.emplace_back(RunFinished{
                    run.id(), attempt.token, RunOutcome::MayHaveRun, {}, {}, Milliseconds{0}});
            return;
        }
        if (task && task->observation && task->observation->state == TaskState::Running) {
            if (step.isDue(task->stopSentAt)) {
                step.decision.commands.emplace_back(StopTask{ref});
            }
        } else if (step.isDue(task ? task->revokeSentAt : std::nullopt)) {
            step.decision.commands.emplace_back(RevokeTask{ref});
        }
    }
}

void renewTaskLeases(DecisionStep &step)
{
    std::map<HostId, std::vector<FencingToken>> due;
    for (const std::uint64_t ordinal : step.state.active) {
        const Run &run = step.state.runs.find(ordinal)->second;
        if (!run.claim || run.claim->owner != step.ownerState.self) {
            continue;
        }
        const OwnerTaskState *task = step.findTask(run.claim->token);
        const bool isRunning =
                task && task->observation && task->observation->state == TaskState::Running;
        const bool mayRun = run.claim->startedAt || (task && task->startSentAt) || isRunning;
        const TimePoint last = task && task->renewedAt ? *task->renewedAt
                               : task                  ? task->knownSince
                                                       : TimePoint{};
        if (mayRun && step.now - last >= step.policy.taskLeaseRenewal) {
            due[run.claim->worker].push_back(run.claim->token);
        }
    }
    for (auto &[worker, tokens] : due) {
        step.decision.commands.emplace_back(
                RenewLeases{worker, std::move(tokens), step.policy.taskLease});
    }
}

}  // namespace poplarstream
