#include <algorithm>  // for sort, max
#include <map>  // for map

#include "poplarstream/runs/estimate.hpp"  // for estimatedDuration
#include "supervise.hpp"  // for DecisionStep

namespace poplarstream {
namespace {

struct RunningTask
{
    const Run *run = nullptr;
    Resources usage;
};

using TasksByWorker = std::map<HostId, std::vector<RunningTask>>;

TaskRef taskRefOf(const Run &run)
{
    return {run.id(), run.claim->token, run.claim->worker};
}

Resources usageOf(const WorkerView &worker, const Claim &claim)
{
    for (const TaskUsage &task : worker.usage ? worker.usage->tasks : std::vector<TaskUsage>{}) {
        if (task.token == claim.token) {
            return task.usage;
        }
    }
    return claim.reserved;
}

// The started tasks of all owners, so that all owners select the same tasks.
TasksByWorker startedTasks(const DecisionStep &step)
{
    TasksByWorker tasks;
    for (const std::uint64_t ordinal : step.state.active) {
        const Run &run = step.state.runs.find(ordinal)->second;
        if (run.claim && run.claim->startedAt) {
            if (const WorkerView *worker = findWorker(step.fleet, run.claim->worker)) {
                tasks[worker->host].push_back({&run, usageOf(*worker, *run.claim)});
            }
        }
    }
    return tasks;
}

// The memory use expected when a command sent now takes effect: the last report, with its growth
// extrapolated over the age of the report and one more report interval.
double projectedMemory(const WorkerView &worker, TimePoint now)
{
    const auto current = static_cast<double>(worker.usage->total.memoryMegabytes);
    if (!worker.previousUsage || worker.usage->at <= worker.previousUsage->at) {
        return current;
    }
    const auto before = static_cast<double>(worker.previousUsage->total.memoryMegabytes);
    const auto interval =
            static_cast<double>((worker.usage->at - worker.previousUsage->at).count());
    const double growth = std::max(0.0, (current - before) / interval);
    const auto age =
            static_cast<double>(std::max<std::int64_t>(0, (now - worker.usage->at).count()));
    return current + growth * (age + interval);
}

bool mayCommand(const DecisionStep &step, const Run &run)
{
    return run.claim->owner == step.ownerState.self && run.stage == RunStage::Started
           && !isPending(step.ownerState.proposals, run.id());
}

bool checkpoint(DecisionStep &step, const Run &run)
{
    const OwnerTaskState *task = step.findTask(run.claim->token);
    if (mayCommand(step, run) && step.isDue(task ? task->checkpointSentAt : std::nullopt)) {
        step.decision.commands.emplace_back(CheckpointTask{taskRefOf(run)});
        return true;
    }
    return false;
}

// The youngest tasks lose the least work.
void sortYoungestFirst(std::vector<RunningTask> &tasks)
{
    std::sort(tasks.begin(), tasks.end(), [](const RunningTask &a, const RunningTask &b) {
        const Claim &left = *a.run->claim;
        const Claim &right = *b.run->claim;
        return left.startedAt != right.startedAt ? left.startedAt > right.startedAt
                                                 : left.token > right.token;
    });
}

void shedMemoryLoad(DecisionStep &step, const WorkerView &worker, std::vector<RunningTask> &tasks)
{
    const auto capacity = static_cast<double>(worker.capacity.memoryMegabytes);
    const double projected = projectedMemory(worker, step.now);
    double excess = projected - capacity * step.policy.checkpointMemoryShare;
    // A projection can be too high, since growth ends at the peak, so only measured usage stops a
    // task.
    const bool isUrgent = static_cast<double>(worker.usage->total.memoryMegabytes)
                          > capacity * step.policy.stopMemoryShare;
    for (const RunningTask &task : tasks) {
        if (excess <= 0) {
            return;
        }
        excess -= static_cast<double>(task.usage.memoryMegabytes);
        if (!isUrgent || !task.run->accepted.idempotent) {
            checkpoint(step, *task.run);
            continue;
        }
        const OwnerTaskState *taskState = step.findTask(task.run->claim->token);
        if (mayCommand(step, *task.run)
            && step.isDue(taskState ? taskState->stopSentAt : std::nullopt)) {
            step.decision.commands.emplace_back(StopTask{taskRefOf(*task.run)});
        }
    }
}

bool throttle(DecisionStep &step, const Run &run, double cpus, bool isLifted)
{
    const OwnerTaskState *taskState = step.findTask(run.claim->token);
    if (!mayCommand(step, run)
        || !step.isDue(taskState ? taskState->throttleSentAt : std::nullopt)) {
        return false;
    }
    step.decision.commands.emplace_back(ThrottleTask{taskRefOf(run), cpus, isLifted});
    return true;
}

// Whether to lift the throttle of a task, possibly again. A throttle is known only to the process
// that sent it, so a task that was taken over, or whose owner restarted, counts as throttled. A
// lift is repeated, since it can be lost or overtaken by the preceding throttle.
bool isLiftDue(const DecisionStep &step, const Run &run)
{
    const OwnerTaskState *taskState = step.findTask(run.claim->token);
    if (!taskState || !taskState->throttleSentAt) {
        return !taskState || !taskState->isOwnClaim;
    }
    const Milliseconds pause = taskState->isThrottled ? step.policy.commandRetryInterval
                                                      : step.policy.taskLeaseRenewal;
    return step.now - *taskState->throttleSentAt >= pause;
}

void adjustThrottles(DecisionStep &step, const WorkerView &worker, std::vector<RunningTask> &tasks)
{
    const double used = worker.usage->total.cpus;
    if (used < worker.capacity.cpus * step.policy.unthrottleCpuShare) {
        // One at a time, oldest first, so that the load of the worker does not oscillate.
        for (auto task = tasks.rbegin(); task != tasks.rend(); ++task) {
            if (isLiftDue(step, *task->run)
                && throttle(step, *task->run, worker.capacity.cpus, true)) {
                return;
            }
        }
        return;
    }
    // A throttled task keeps a quarter of an equal share, so that it still makes progress. A
    // fraction of its usage would not work: the first report after a start can be 0, and each
    // further throttle would reduce the rest again.
    const double least = worker.capacity.cpus
                         / (4 * static_cast<double>(std::max<std::size_t>(1, tasks.size())));
    double excess = used - worker.capacity.cpus * step.policy.throttleCpuShare;
    for (const RunningTask &task : tasks) {
        if (excess <= 0) {
            return;
        }
        if (task.usage.cpus <= least) {
            continue;
        }
        const double kept = std::max(task.usage.cpus - excess, least);
        excess -= task.usage.cpus - kept;
        throttle(step, *task.run, kept, false);
    }
}

// Checkpoints the runs that are not expected to complete before the drain deadline. Doing so early
// leaves time to repeat the request.
void checkpointBeforeDrain(DecisionStep &step, const WorkerView &worker,
                           const std::vector<RunningTask> &tasks)
{
    for (const RunningTask &task : tasks) {
        const RunAccepted &accepted = task.run->accepted;
        const Milliseconds left = estimatedDuration(serviceBias(step.state, accepted.service, {}),
                                                    accepted.declaredDuration)
                                  - (step.state.now - *task.run->claim->startedAt);
        if (step.now + std::max(left, Milliseconds{0}) > *worker.drainBy) {
            checkpoint(step, *task.run);
        }
    }
}

}  // namespace

void shedLoad(DecisionStep &step)
{
    for (auto &[host, tasks] : startedTasks(step)) {
        const WorkerView &worker = *findWorker(step.fleet, host);
        sortYoungestFirst(tasks);
        if (worker.condition == WorkerCondition::Draining && worker.drainBy) {
            checkpointBeforeDrain(step, worker, tasks);
        }
        if (worker.usage) {
            shedMemoryLoad(step, worker, tasks);
            adjustThrottles(step, worker, tasks);
        }
    }
}

}  // namespace poplarstream
