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

TaskRef refOf(const Run &run)
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

// All started tasks, of all owners, so that all owners choose the same ones.
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

// Memory use expected at the time when a command sent now takes effect: the last report, and its
// growth carried on over the age of the report and one more report interval.
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

bool isOwnAndFree(const DecisionStep &step, const Run &run)
{
    return run.claim->owner == step.memory.self && run.stage == RunStage::Started
           && !isPending(step.memory.proposals, run.id());
}

bool checkpoint(DecisionStep &step, const Run &run)
{
    const OwnerTaskState *task = step.findTask(run.claim->token);
    if (isOwnAndFree(step, run) && step.isDue(task ? task->checkpointSentAt : std::nullopt)) {
        step.decision.commands.emplace_back(CheckpointTask{refOf(run)});
        return true;
    }
    return false;
}

// The youngest have the least work to lose.
void sortYoungestFirst(std::vector<RunningTask> &tasks)
{
    std::sort(tasks.begin(), tasks.end(), [](const RunningTask &a, const RunningTask &b) {
        const Claim &left = *a.run->claim;
        const Claim &right = *b.run->claim;
        return left.startedAt != right.startedAt ? left.startedAt > right.startedAt
                                                 : left.token > right.token;
    });
}

void relieveMemory(DecisionStep &step, const WorkerView &worker, std::vector<RunningTask> &tasks)
{
    const auto capacity = static_cast<double>(worker.capacity.memoryMegabytes);
    const double projected = projectedMemory(worker, step.now);
    double excess = projected - capacity * step.policy.checkpointAt;
    // A projection can be too high, since growth ends at the peak; only measured usage stops a
    // task.
    const bool isUrgent = static_cast<double>(worker.usage->total.memoryMegabytes)
                          > capacity * step.policy.stopAt;
    for (const RunningTask &task : tasks) {
        if (excess <= 0) {
            return;
        }
        excess -= static_cast<double>(task.usage.memoryMegabytes);
        if (!isUrgent || !task.run->accepted.idempotent) {
            checkpoint(step, *task.run);
            continue;
        }
        const OwnerTaskState *known = step.findTask(task.run->claim->token);
        if (isOwnAndFree(step, *task.run) && step.isDue(known ? known->stopSentAt : std::nullopt)) {
            step.decision.commands.emplace_back(StopTask{refOf(*task.run)});
        }
    }
}

bool throttle(DecisionStep &step, const Run &run, double cpus, bool isLifted)
{
    const OwnerTaskState *known = step.findTask(run.claim->token);
    if (!isOwnAndFree(step, run) || !step.isDue(known ? known->throttleSentAt : std::nullopt)) {
        return false;
    }
    step.decision.commands.emplace_back(ThrottleTask{refOf(run), cpus, isLifted});
    return true;
}

// Whether a task has to be let go (again). A throttle is known only to the process that sent it, so
// a task that was taken over counts as throttled, and so does that of a restarted owner. A lift is
// repeated, since it can be lost, or overtaken by the throttle before it.
bool isLiftDue(const DecisionStep &step, const Run &run)
{
    const OwnerTaskState *known = step.findTask(run.claim->token);
    if (!known || !known->throttleSentAt) {
        return !known || !known->isFresh;
    }
    const Milliseconds pause =
            known->isThrottled ? step.policy.commandRetry : step.policy.taskLeaseRenewal;
    return step.now - *known->throttleSentAt >= pause;
}

void relieveProcessors(DecisionStep &step, const WorkerView &worker,
                       std::vector<RunningTask> &tasks)
{
    const double used = worker.usage->total.cpus;
    if (used < worker.capacity.cpus * step.policy.unthrottleAt) {
        // One at a time, the oldest first, so that the worker does not swing.
        for (auto task = tasks.rbegin(); task != tasks.rend(); ++task) {
            if (isLiftDue(step, *task->run)
                && throttle(step, *task->run, worker.capacity.cpus, true)) {
                return;
            }
        }
        return;
    }
    // A throttled task keeps a quarter of an equal share, so that it still makes progress. A share
    // of its usage would not do: the first report after a start can say 0, and each further
    // throttle would take a share of the rest.
    const double least = worker.capacity.cpus
                         / (4 * static_cast<double>(std::max<std::size_t>(1, tasks.size())));
    double excess = used - worker.capacity.cpus * step.policy.throttleAt;
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

// A run that will not end before the drain has to be over is checkpointed now, which also leaves
// time to repeat the request.
void emptyDraining(DecisionStep &step, const WorkerView &worker,
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
            emptyDraining(step, worker, tasks);
        }
        if (worker.usage) {
            relieveMemory(step, worker, tasks);
            relieveProcessors(step, worker, tasks);
        }
    }
}

}  // namespace poplarstream
