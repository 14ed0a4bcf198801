#pragma once

#include <algorithm>  // for max, min
#include <map>  // for map
#include <set>  // for set
#include <vector>  // for vector

#include "poplarstream/history/event.hpp"  // for RunExecuted, Event
#include "poplarstream/runs/worker_command.hpp"  // for StartTask, TaskObservation
#include "poplarstream/runs/worker_view.hpp"  // for UsageReport

namespace poplarstream::fakes {

// The actual needs of a run, whatever was declared. Memory grows to its peak over the first quarter
// of the duration.
struct ActualSize
{
    Resources peak;
    Milliseconds duration{0};
    bool isFailing = false;
};

struct FakeTask
{
    TaskRef ref;
    TaskState state = TaskState::Running;
    ActualSize actual;
    double progressMs = 0;
    double cpuLimit = 1e9;
    TimePoint leaseUntil;
    Resources usage;
    Resources peak;
};

// A worker agent that follows the fencing token rules: it refuses a token that is revoked or lower
// than the newest one of its run, executes a token once, and stops tasks whose lease expires. It
// loses all state when it reboots.
struct FakeWorker
{
    HostId host;
    RackId rack;
    std::vector<ServiceId> services;
    Resources capacity;
    std::uint64_t boot = 1;
    bool isReachable = true;
    bool failsAll = false;
    bool isDraining = false;
    std::optional<TimePoint> drainBy;
    std::map<FencingToken, FakeTask> tasks;
    std::set<FencingToken> running;
    std::set<FencingToken> revoked;
    std::map<RunId, FencingToken> newest;
    std::uint64_t overfullSteps = 0;
    std::uint64_t startedTasks = 0;
    std::uint64_t wastedTasks = 0;
    std::uint64_t steps = 0;

    TaskObservation observe(const FakeTask &task) const
    {
        TaskObservation observation;
        observation.task = task.ref;
        observation.workerBoot = boot;
        observation.state = task.state;
        observation.peak = task.peak;
        observation.ran = Milliseconds{static_cast<std::int64_t>(task.progressMs)};
        if (task.state == TaskState::Checkpointed) {
            observation.checkpoint = std::to_string(task.progressMs);
        }
        return observation;
    }
    TaskObservation respond(const TaskRef &ref, TaskState state) const
    {
        TaskObservation observation;
        observation.task = ref;
        observation.workerBoot = boot;
        observation.state = state;
        return observation;
    }

    TaskObservation start(const StartTask &command, const ActualSize &actual, TimePoint now,
                          std::vector<history::Event> &history)
    {
        const FencingToken &token = command.task.token;
        if (const auto known = tasks.find(token); known != tasks.end()) {
            return observe(known->second);
        }
        const auto newer = newest.find(command.task.run);
        if (revoked.contains(token) || (newer != newest.end() && token < newer->second)
            || (command.workerBoot != 0 && command.workerBoot != boot)) {
            return respond(command.task, TaskState::Refused);
        }
        newest[command.task.run] = token;
        FakeTask task;
        task.ref = command.task;
        task.actual = actual;
        task.leaseUntil = now + command.lease;
        if (!command.checkpoint.empty()) {
            task.progressMs = std::stod(command.checkpoint);
        }
        ++startedTasks;
        history.push_back({now, history::RunExecuted{command.task.run, host, token,
                                                     !command.checkpoint.empty()}});
        running.insert(token);
        return observe(tasks.emplace(token, std::move(task)).first->second);
    }
    TaskObservation revoke(const TaskRef &ref)
    {
        if (const auto known = tasks.find(ref.token); known != tasks.end()) {
            return observe(known->second);
        }
        revoked.insert(ref.token);
        return respond(ref, TaskState::NeverStarted);
    }
    void complete(FakeTask &task, TaskState state)
    {
        task.state = state;
        task.usage = {};
        running.erase(task.ref.token);
    }
    std::optional<TaskObservation> interrupt(const TaskRef &ref, TaskState state)
    {
        const auto known = tasks.find(ref.token);
        if (known == tasks.end()) {
            return std::nullopt;
        }
        if (known->second.state == TaskState::Running) {
            complete(known->second, state);
        }
        return observe(known->second);
    }
    void throttle(const TaskRef &ref, double cpus)
    {
        if (const auto known = tasks.find(ref.token); known != tasks.end()) {
            known->second.cpuLimit = std::max(0.01, cpus);
        }
    }
    void renew(const RenewLeases &command, TimePoint now)
    {
        for (const FencingToken &token : command.tokens) {
            if (const auto known = tasks.find(token); known != tasks.end()) {
                known->second.leaseUntil = now + command.lease;
            }
        }
    }
    void reboot()
    {
        ++boot;
        tasks.clear();
        running.clear();
        revoked.clear();
        newest.clear();
    }

    UsageReport report(TimePoint now) const
    {
        UsageReport result;
        result.at = now;
        for (const FencingToken &token : running) {
            const FakeTask &task = tasks.at(token);
            result.tasks.push_back({token, task.usage});
            result.total.cpus += task.usage.cpus;
            result.total.memoryMegabytes += task.usage.memoryMegabytes;
        }
        return result;
    }

    // Advances the tasks by `span`. Tasks share the processors if they need more than there are. A
    // worker that runs out of memory kills its youngest task.
    void step(TimePoint now, Milliseconds span)
    {
        ++steps;
        double requiredCpus = 0;
        for (const FencingToken &token : running) {
            const FakeTask &task = tasks.at(token);
            requiredCpus += std::min(task.actual.peak.cpus, task.cpuLimit);
        }
        const double share = requiredCpus > capacity.cpus ? capacity.cpus / requiredCpus : 1.0;
        std::uint64_t memory = 0;
        for (const FencingToken &token : std::set<FencingToken>(running)) {
            FakeTask &task = tasks.at(token);
            advance(task, share, span);
            memory += task.usage.memoryMegabytes;
            if (failsAll || (task.actual.isFailing && task.progressMs > 0)) {
                wastedTasks += failsAll ? 1 : 0;
                complete(task, TaskState::Failed);
            } else if (task.progressMs >= static_cast<double>(task.actual.duration.count())) {
                complete(task, TaskState::Succeeded);
            } else if (now >= task.leaseUntil) {
                complete(task, TaskState::Stopped);
            }
        }
        if (memory > capacity.memoryMegabytes && !running.empty()) {
            ++overfullSteps;
            complete(tasks.at(*running.rbegin()), TaskState::Failed);
        }
    }

private:
    static void advance(FakeTask &task, double share, Milliseconds span)
    {
        const double cpus = std::min(task.actual.peak.cpus, task.cpuLimit) * share;
        const double speed = task.actual.peak.cpus > 0 ? cpus / task.actual.peak.cpus : 1.0;
        task.progressMs += static_cast<double>(span.count()) * speed;
        const double quarter = static_cast<double>(task.actual.duration.count()) / 4;
        const double grown = std::min(1.0, 0.2 + 0.8 * task.progressMs / std::max(1.0, quarter));
        task.usage = {cpus,
                      static_cast<std::uint64_t>(
                              static_cast<double>(task.actual.peak.memoryMegabytes) * grown),
                      task.actual.peak.accelerators};
        task.peak.cpus = std::max(task.peak.cpus, cpus);
        task.peak.memoryMegabytes = std::max(task.peak.memoryMegabytes, task.usage.memoryMegabytes);
    }
};

}  // namespace poplarstream::fakes
