#include "supervise.hpp"

#include <map>  // for map

namespace poplarstream {
namespace {

TaskRef refOf(const Run &run)
{
    return {run.id(), run.claim->token, run.claim->worker};
}

bool isOtherBoot(std::uint64_t claimed, std::uint64_t seen)
{
    return claimed != 0 && seen != 0 && claimed != seen;
}

enum class Contact { Good, Lost, GivenUp };

// Whether the worker of an attempt can still answer for it. A worker that left the configuration
// counts as lost since this owner has known of the claim.
Contact contactWith(const DecisionStep &step, const HostId &host, std::uint64_t boot,
                    TimePoint knownSince)
{
    const WorkerView *worker = findWorker(step.fleet, host);
    if (worker && isOtherBoot(boot, worker->boot)) {
        return Contact::GivenUp;
    }
    const Milliseconds silence =
            step.now - (worker ? std::max(worker->lastHeard, knownSince) : knownSince);
    return silence >= step.policy.workerGivenUp ? Contact::GivenUp
           : silence >= step.policy.workerLost  ? Contact::Lost
                                                : Contact::Good;
}

void finish(DecisionStep &step, const Run &run, RunOutcome outcome, const TaskObservation *seen)
{
    RunFinished finished{run.id(), run.claim->token, outcome, {}, {}, Milliseconds{0}};
    if (seen) {
        finished.result = seen->result;
        finished.peak = seen->peak;
        finished.ran = seen->ran;
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

// Nothing more can be learnt of the attempt.
void giveUp(DecisionStep &step, const Run &run, std::string reason)
{
    if (run.accepted.idempotent && run.stage != RunStage::Cancelling) {
        release(step, run, ReleaseCause::Lost, std::move(reason));
    } else {
        finish(step, run, RunOutcome::MayHaveRun, nullptr);
    }
}

void fail(DecisionStep &step, const Run &run, const TaskObservation &seen)
{
    if (!run.accepted.idempotent) {
        finish(step, run, RunOutcome::Failed, &seen);
        return;
    }
    release(step, run, ReleaseCause::Failed, "The run failed at its worker.");
    if (run.stage != RunStage::Cancelling && run.failedOn.size() + 1 >= maxFailedAttempts) {
        step.decision.entries.emplace_back(
                RunDeadLettered{run.id(), "The run failed on several workers."});
    }
}

// Whether the attempt has surely not begun, whatever the worker forgot since: the process that made
// the claim has sent no start, or the only one that it sent was refused.
bool hasSurelyNotBegun(const Run &run, const TaskMemory *task)
{
    return task && task->isFresh && !run.claim->startedAt && !run.accepted.idempotent
           && (!task->startSentAt || task->isStartRefused);
}

void revoke(DecisionStep &step, const Run &run, const TaskMemory *task)
{
    if (step.isDue(task ? task->revokeSentAt : std::nullopt)) {
        step.decision.commands.emplace_back(RevokeTask{refOf(run)});
    }
}

void start(DecisionStep &step, const Run &run)
{
    const Claim &claim = *run.claim;
    step.decision.commands.emplace_back(
            StartTask{refOf(run), claim.workerBoot, run.accepted.service, run.accepted.payload,
                      run.checkpoint, claim.reserved, step.policy.taskLease});
}

// No answer about the task yet.
void superviseUnseen(DecisionStep &step, const Run &run, const TaskMemory *task)
{
    const bool isRefused = task && task->seen;
    if (run.stage != RunStage::Claimed || isRefused || (task && task->revokeSentAt)) {
        revoke(step, run, task);
        return;
    }
    const WorkerView *worker = findWorker(step.fleet, run.claim->worker);
    if (worker && isOtherBoot(run.claim->workerBoot, worker->boot)) {
        return;
    }
    // A start is sent once for a non-idempotent run, and only by the process that read its own
    // claim back: nobody else can know whether it was sent before.
    const bool isFresh = task && task->isFresh;
    const bool mayStart = run.accepted.idempotent || isFresh;
    const bool isSent = task && task->startSentAt;
    const bool isUnanswered = isSent && step.now - task->knownSince >= step.policy.startPatience;
    if (!mayStart || isUnanswered) {
        revoke(step, run, task);
    } else if (!isSent || (run.accepted.idempotent && step.isDue(task->startSentAt))) {
        start(step, run);
    }
}

void superviseRunning(DecisionStep &step, const Run &run, const TaskMemory &task)
{
    if (!run.claim->startedAt) {
        step.decision.entries.emplace_back(RunStarted{run.id(), run.claim->token});
    }
    if (run.stage == RunStage::Cancelling && step.isDue(task.stopSentAt)) {
        step.decision.commands.emplace_back(StopTask{refOf(run)});
    }
}

void superviseSeen(DecisionStep &step, const Run &run, const TaskMemory &task)
{
    const TaskObservation &seen = *task.seen;
    switch (seen.state) {
    case TaskState::Refused:
        superviseUnseen(step, run, &task);
        return;
    case TaskState::Running:
        superviseRunning(step, run, task);
        return;
    case TaskState::Succeeded:
        finish(step, run, RunOutcome::Succeeded, &seen);
        return;
    case TaskState::Failed:
        fail(step, run, seen);
        return;
    case TaskState::Checkpointed:
        release(step, run, ReleaseCause::Checkpointed, "The run was stopped at a checkpoint.",
                seen.checkpoint);
        return;
    case TaskState::Stopped:
        if (run.accepted.idempotent || run.stage == RunStage::Cancelling) {
            release(step, run, ReleaseCause::Stopped, "The run was stopped at its worker.");
        } else {
            finish(step, run, RunOutcome::MayHaveRun, &seen);
        }
        return;
    case TaskState::NeverStarted:
        // A worker that restarted, or that denies a start on record, does not remember.
        if (run.claim->startedAt
            || (isOtherBoot(run.claim->workerBoot, seen.workerBoot)
                && !hasSurelyNotBegun(run, &task))) {
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
    if (isPending(step.memory.proposals, run.id())) {
        return;
    }
    const Claim &claim = *run.claim;
    const TaskMemory *task = step.findTask(claim.token);
    const bool hasEnd = task && task->seen && task->seen->state != TaskState::Running
                        && task->seen->state != TaskState::Refused;
    if (hasEnd) {
        superviseSeen(step, run, *task);
        return;
    }
    const Contact contact =
            contactWith(step, claim.worker, claim.workerBoot, task ? task->knownSince : step.now);
    const bool canRepeat = run.accepted.idempotent && run.stage != RunStage::Cancelling;
    if (contact == Contact::GivenUp || (contact == Contact::Lost && canRepeat)) {
        if (hasSurelyNotBegun(run, task)) {
            release(step, run, ReleaseCause::NeverStarted, "The worker was lost before the start.");
        } else {
            giveUp(step, run, "The worker was lost.");
        }
    } else if (task && task->seen) {
        superviseSeen(step, run, *task);
    } else {
        superviseUnseen(step, run, task);
    }
}

void superviseLostAttempts(DecisionStep &step, const Run &run)
{
    if (isPending(step.memory.proposals, run.id())) {
        return;
    }
    for (const LostAttempt &attempt : run.lostAttempts) {
        const TaskRef ref{run.id(), attempt.token, attempt.worker};
        const TaskMemory *task = step.findTask(attempt.token);
        const auto settle = [&](ReleaseCause cause) {
            step.decision.entries.emplace_back(RunReleased{
                    run.id(), attempt.token, false, "The lost attempt was settled.", cause, {}});
        };
        if (task && task->seen) {
            switch (task->seen->state) {
            case TaskState::NeverStarted:
                settle(ReleaseCause::NeverStarted);
                return;
            case TaskState::Stopped:
            case TaskState::Checkpointed:
            case TaskState::Failed:
                settle(ReleaseCause::Stopped);
                return;
            case TaskState::Succeeded:
                step.decision.entries.emplace_back(
                        RunFinished{run.id(), attempt.token, RunOutcome::Succeeded,
                                    task->seen->result, task->seen->peak, task->seen->ran});
                return;
            case TaskState::Running:
            case TaskState::Refused:
                break;
            }
        }
        const Contact contact = contactWith(step, attempt.worker, attempt.workerBoot,
                                            task ? task->knownSince : step.now);
        if (contact == Contact::GivenUp) {
            step.decision.entries.emplace_back(RunFinished{
                    run.id(), attempt.token, RunOutcome::MayHaveRun, {}, {}, Milliseconds{0}});
            return;
        }
        if (task && task->seen && task->seen->state == TaskState::Running) {
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
        if (!run.claim || run.claim->owner != step.memory.self) {
            continue;
        }
        const TaskMemory *task = step.findTask(run.claim->token);
        const bool isSeen = task && task->seen && task->seen->state == TaskState::Running;
        const bool mayRun = run.claim->startedAt || (task && task->startSentAt) || isSeen;
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
