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
    std::int64_t startedMs = 0;  // steady clock, as the times below
    std::int64_t endedMs = 0;
    std::int64_t leaseUntilMs = 0;
    std::int64_t startedWallMs = 0;
    TaskState state = TaskState::Running;
    std::string result;
    std::string checkpoint;
    bool isContinued = false;  // from a checkpoint of an earlier execution
    std::uint64_t change = 0;  // number of the change that ended it, or told of it again

    bool isActive() const { return state == TaskState::Running; }
    // What it really uses, in contrast to what was declared.
    Resources usage() const;
};

// What all tasks used at one time.
struct UsageSample
{
    std::int64_t atMs = 0;
    Resources total;
    std::map<FencingToken, Resources> tasks;
};

// The tasks of one boot of a worker and the rules of fencing tokens. Ended tasks are kept for an
// hour, and the newest 1,024 at most. All times are milliseconds of the steady clock.
class TaskBook
{
public:
    TaskBook(FleetContext &context, std::string host);

    // Ends all tasks as lost and forgets everything, as a machine does that loses its power.
    void forget();

    // Whether a start under this token must be refused.
    bool isFenced(const std::string &run, const FencingToken &token) const;
    // The task, which a repeated start does not start again. The token must not be fenced.
    Task &start(Task task);
    // Fences the token unless its task has started. Returns whether it never did.
    bool revoke(const std::string &run, const FencingToken &token);
    void stop(Task &task) { end(task, TaskState::Stopped, "stopped"); }
    void checkpoint(Task &task);
    // Extends the lease of a running task; lists an ended one again, since its owner has not
    // recorded the end. Returns false for an unknown token.
    bool renew(const FencingToken &token, std::int64_t untilMs);

    // Lets work pass: tasks progress and finish, or stop when their lease has lapsed.
    void tick(std::int64_t nowMs, std::int64_t elapsedMs, Fault fault, double factor);

    Task *find(const FencingToken &token);
    std::size_t runningTasks() const;
    Resources usage() const;
    // The newest sample that is at least as old as the lag; null if there is none yet.
    const UsageSample *visibleUsage(std::int64_t nowMs) const;
    // The running tasks and then those that ended after `since`, in the order of their changes and
    // at most `most` of them. `place` is set to the change up to which they are listed.
    std::vector<const Task *> list(std::uint64_t since, std::size_t most,
                                   std::uint64_t &place) const;

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
    std::uint64_t change_ = 0;
};

}  // namespace poplarstream::standins
