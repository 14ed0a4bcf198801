#pragma once

#include <cstdint>  // for int64_t, uint64_t
#include <deque>  // for deque
#include <map>  // for map
#include <optional>  // for optional
#include <set>  // for set
#include <string>  // for string
#include <vector>  // for vector

#include "fleet/work.hpp"  // for Fault, FleetContext, Work
#include "poplarstream/runs/worker_command.hpp"  // for TaskState, FencingToken, Resources

namespace poplarstream::standins {

struct Task
{
    std::string run;
    FencingToken token;
    std::string service;
    Work work;
    Resources declared;
    double cpuLimit = 0;
    double remainingMs = 0;
    std::int64_t startedMs = 0;  // steady clock, as are endedMs and leaseUntilMs
    std::int64_t endedMs = 0;
    std::int64_t leaseUntilMs = 0;
    std::int64_t startedUnixMs = 0;
    TaskState state = TaskState::Running;
    std::string result;
    std::string checkpoint;
    bool isContinued = false;  // resumed from a checkpoint of an earlier execution
    std::uint64_t changeNumber = 0;  // number of the change that ended the task or listed it again

    bool isActive() const { return state == TaskState::Running; }
    // The actual usage, as opposed to the declared one.
    Resources usage() const;
};

// The usage of all tasks at one time.
struct UsageSample
{
    std::int64_t atMs = 0;
    Resources total;
    std::map<FencingToken, Resources> tasks;
};

// The tasks of one boot of a worker. Enforces fencing tokens. Ended tasks are kept for an hour, at
// most the newest 1,024. All times are milliseconds of the steady clock.
class TaskTable
{
public:
    TaskTable(FleetContext &context, std::string host);

    // Ends all tasks as lost and clears all state, as in a power failure.
    void loseAllTasks();

    // Whether a start with this token must be rejected.
    bool isFenced(const std::string &run, const FencingToken &token) const;
    // Starts the task, or returns it if it has already started. The token must not be fenced.
    Task &start(Task task);
    // Fences the token unless its task has started. Returns whether the token was fenced.
    bool revoke(const std::string &run, const FencingToken &token);
    void stop(Task &task) { end(task, TaskState::Stopped, "stopped"); }
    void checkpoint(Task &task);
    // Extends the lease of a running task. Lists an ended task again, since its owner has not
    // recorded the completion. Returns false for an unknown token.
    bool renew(const FencingToken &token, std::int64_t untilMs);

    // Advances the running tasks: they progress and finish, or stop when their lease has expired.
    void tick(std::int64_t nowMs, std::int64_t elapsedMs, Fault fault, double factor);

    Task *find(const FencingToken &token);
    std::size_t runningTasks() const;
    Resources usage() const;
    // The newest sample that is at least as old as the usage lag; null if there is none yet.
    const UsageSample *visibleUsage(std::int64_t nowMs) const;
    // The running tasks, followed by at most `maxEndedListed` tasks that ended after change
    // `since`, in the order of their changes. Sets `lastListedChange` to the change up to which
    // ended tasks are listed.
    std::vector<const Task *> list(std::uint64_t since, std::size_t maxEndedListed,
                                   std::uint64_t &lastListedChange) const;

private:
    struct Fence
    {
        FencingToken newest;
        std::optional<FencingToken> revoked;
        std::set<FencingToken> started;
    };

    void end(Task &task, TaskState state, const std::string &outcome);
    void prune(std::int64_t nowMs);
    void sample(std::int64_t nowMs);

    FleetContext &context_;
    std::string host_;
    std::map<std::string, Fence> fences_;
    std::map<FencingToken, Task> tasks_;
    std::deque<FencingToken> ended_;  // oldest first
    std::deque<UsageSample> samples_;  // oldest first
    std::uint64_t lastChangeNumber_ = 0;
};

}  // namespace poplarstream::standins
