#include "fleet/task_table.hpp"

#include <algorithm>  // for min, max, sort
#include <iterator>  // for prev

#include <nlohmann/json.hpp>  // for json

#include "common/service.hpp"  // for systemMilliseconds, steadyMilliseconds
#include "poplarstream/adapters/worker_protocol.hpp"  // for taskStateText

namespace poplarstream::standins {

namespace {

using nlohmann::json;

constexpr std::int64_t endedTaskRetentionMs = 3'600'000;
constexpr std::size_t maxEndedTasks = 1'024;
constexpr std::int64_t samplePeriodMs = 250;

json historyLine(const std::string &kind, const std::string &host, const Task &task)
{
    return {{"kind", kind},
            {"run", task.run},
            {"token", {{"offset", task.token.offset}, {"index", task.token.index}}},
            {"service", task.service},
            {"host", host},
            {"continued", task.isContinued},
            {"start_ms", task.startedUnixMs}};
}

// The fraction of its full speed at which a CPU-limited task runs.
double relativeSpeed(const Task &task)
{
    const double requestedCpus = task.declared.cpus * task.work.sizeFactor;
    return requestedCpus > 0 ? std::min(1.0, task.cpuLimit / requestedCpus) : 1;
}

}  // namespace

Resources Task::usage() const
{
    return {std::min(declared.cpus * work.sizeFactor, cpuLimit),
            static_cast<std::uint64_t>(static_cast<double>(declared.memoryMegabytes)
                                       * work.sizeFactor),
            declared.accelerators};
}

TaskTable::TaskTable(FleetContext &context, std::string host)
    : context_(context)
    , host_(std::move(host))
{}

void TaskTable::end(Task &task, TaskState state, const std::string &outcome)
{
    task.state = state;
    task.endedMs = steadyMilliseconds();
    task.changeNumber = ++lastChangeNumber_;
    ended_.push_back(task.token);
    json line = historyLine("run-execution", host_, task);
    line.update({{"end_ms", systemMilliseconds()}, {"outcome", outcome}});
    context_.history.write(line);
}

void TaskTable::loseAllTasks()
{
    for (auto &[token, task] : tasks_) {
        if (task.isActive()) {
            end(task, TaskState::Stopped, "lost");
        }
    }
    fences_.clear();
    tasks_.clear();
    ended_.clear();
    samples_.clear();
    lastChangeNumber_ = 0;
}

bool TaskTable::isFenced(const std::string &run, const FencingToken &token) const
{
    const auto found = fences_.find(run);
    if (found == fences_.end()) {
        return false;
    }
    const Fence &fence = found->second;
    return token < fence.newest || (fence.revoked && token <= *fence.revoked);
}

Task &TaskTable::start(Task task)
{
    if (Task *known = find(task.token)) {
        return *known;
    }
    for (auto &[token, other] : tasks_) {
        if (other.run == task.run && other.isActive()) {
            stop(other);
        }
    }
    Fence &fence = fences_[task.run];
    fence.newest = task.token;
    fence.started.insert(task.token);
    context_.history.write(historyLine("run-started", host_, task));
    return tasks_[task.token] = std::move(task);
}

bool TaskTable::revoke(const std::string &run, const FencingToken &token)
{
    Fence &fence = fences_[run];
    if (fence.started.contains(token)) {
        return false;
    }
    fence.revoked = fence.revoked ? std::max(*fence.revoked, token) : token;
    return true;
}

void TaskTable::checkpoint(Task &task)
{
    task.checkpoint = json{{"remaining_ms", task.remainingMs}}.dump();
    end(task, TaskState::Checkpointed, "checkpointed");
}

bool TaskTable::renew(const FencingToken &token, std::int64_t untilMs)
{
    Task *const task = find(token);
    if (task == nullptr) {
        return false;
    }
    if (task->isActive()) {
        task->leaseUntilMs = std::max(task->leaseUntilMs, untilMs);
    } else {
        task->changeNumber = ++lastChangeNumber_;
    }
    return true;
}

void TaskTable::tick(std::int64_t nowMs, std::int64_t elapsedMs, Fault fault, double factor)
{
    for (auto &[token, task] : tasks_) {
        if (!task.isActive()) {
            continue;
        }
        task.remainingMs -= static_cast<double>(elapsedMs) * relativeSpeed(task) / factor;
        if (task.leaseUntilMs < nowMs) {
            end(task, TaskState::Stopped, "lapsed");
        } else if (fault == Fault::FailsAll) {
            end(task, TaskState::Failed, "failed");
        } else if (task.remainingMs <= 0) {
            task.result = json{{"nonce", task.work.nonce}, {"worker", host_}}.dump();
            end(task, TaskState::Succeeded, "succeeded");
        }
    }
    prune(nowMs);
    sample(nowMs);
}

void TaskTable::prune(std::int64_t nowMs)
{
    while (!ended_.empty()
           && (ended_.size() > maxEndedTasks
               || tasks_.at(ended_.front()).endedMs + endedTaskRetentionMs < nowMs)) {
        tasks_.erase(ended_.front());
        ended_.pop_front();
    }
}

void TaskTable::sample(std::int64_t nowMs)
{
    if (!samples_.empty() && nowMs - samples_.back().atMs < samplePeriodMs) {
        return;
    }
    UsageSample sample{nowMs, usage(), {}};
    for (const auto &[token, task] : tasks_) {
        if (task.isActive()) {
            sample.tasks[token] = task.usage();
        }
    }
    samples_.push_back(std::move(sample));
    while (samples_.size() > 1 && samples_[1].atMs <= nowMs - context_.usageLagMs) {
        samples_.pop_front();
    }
}

Task *TaskTable::find(const FencingToken &token)
{
    const auto found = tasks_.find(token);
    return found == tasks_.end() ? nullptr : &found->second;
}

std::size_t TaskTable::runningTasks() const
{
    std::size_t count = 0;
    for (const auto &[token, task] : tasks_) {
        count += task.isActive() ? 1 : 0;
    }
    return count;
}

Resources TaskTable::usage() const
{
    Resources total;
    for (const auto &[token, task] : tasks_) {
        if (task.isActive()) {
            const Resources used = task.usage();
            total.cpus += used.cpus;
            total.memoryMegabytes += used.memoryMegabytes;
            total.accelerators += used.accelerators;
        }
    }
    return total;
}

const UsageSample *TaskTable::visibleUsage(std::int64_t nowMs) const
{
    const UsageSample *visible = nullptr;
    for (const UsageSample &sample : samples_) {
        if (sample.atMs <= nowMs - context_.usageLagMs) {
            visible = &sample;
        }
    }
    return visible;
}

std::vector<const Task *> TaskTable::list(std::uint64_t since, std::size_t maxEndedListed,
                                          std::uint64_t &lastListedChange) const
{
    std::vector<const Task *> tasks;
    std::vector<const Task *> ended;
    for (const auto &[token, task] : tasks_) {
        if (task.isActive()) {
            tasks.push_back(&task);
        } else if (task.changeNumber > since) {
            ended.push_back(&task);
        }
    }
    std::sort(ended.begin(), ended.end(),
              [](const Task *a, const Task *b) { return a->changeNumber < b->changeNumber; });
    lastListedChange = lastChangeNumber_;
    if (ended.size() > maxEndedListed) {
        ended.resize(maxEndedListed);
        lastListedChange = ended.back()->changeNumber;
    }
    tasks.insert(tasks.end(), ended.begin(), ended.end());
    return tasks;
}

}  // namespace poplarstream::standins
