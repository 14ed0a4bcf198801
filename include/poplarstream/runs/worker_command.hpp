#pragma once

#include <cstdint>  // for uint64_t
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for RunId, HostId, ServiceId
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/records/run_record.hpp"  // for FencingToken, Resources

namespace poplarstream {

// A claimed run on its worker.
struct TaskRef
{
    RunId run;
    FencingToken token;
    HostId worker;

    friend bool operator==(const TaskRef &, const TaskRef &) = default;
};

// Starts the run, from `checkpoint` if that is not empty. `workerBoot` is the boot that the claim
// was made for; a worker with another boot must not start the run (0: not checked).
struct StartTask
{
    TaskRef task;
    std::uint64_t workerBoot = 0;
    ServiceId service;
    std::string payload;
    std::string checkpoint;
    Resources size;
    Milliseconds lease{0};
};

// Extends the leases of tasks on one worker.
struct RenewLeases
{
    HostId worker;
    std::vector<FencingToken> tokens;
    Milliseconds lease{0};
};

// Prevents a task that has not started from ever starting. A running task is not affected; the
// response reports its state.
struct RevokeTask
{
    TaskRef task;
};

struct StopTask
{
    TaskRef task;
};

// Limits the processors of a task to `cpus`. `isLifted`: removes the limit; `cpus` is then the
// capacity of the whole worker.
struct ThrottleTask
{
    TaskRef task;
    double cpus = 0;
    bool isLifted = false;
};

// Stops the task at its next checkpoint.
struct CheckpointTask
{
    TaskRef task;
};

using WorkerCommand =
        std::variant<StartTask, RenewLeases, RevokeTask, StopTask, ThrottleTask, CheckpointTask>;

// The state of a task as reported by its worker. `Refused` is a refused start (409), which alone
// does not prove that the task never ran; `NeverStarted` is the response to a revocation.
enum class TaskState : std::uint8_t {
    Refused,
    NeverStarted,
    Running,
    Succeeded,
    Failed,
    Stopped,
    Checkpointed,
};

// A worker's response about one task, or an element of its task list.
struct TaskObservation
{
    TaskRef task;
    std::uint64_t workerBoot = 0;
    TaskState state = TaskState::Running;
    std::string result;
    std::string checkpoint;
    Resources peak;
    Milliseconds ran{0};
};

}  // namespace poplarstream
