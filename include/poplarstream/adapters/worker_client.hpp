#pragma once

#include <functional>  // for function
#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint
#include "poplarstream/base/id.hpp"  // for RunId, ServiceId
#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/records/run_record.hpp"  // for FencingToken, Resources

namespace poplarstream {

class HttpClient;

// A claim of a run on a worker.
struct TaskKey
{
    RunId run;
    FencingToken token;

    friend bool operator==(const TaskKey &, const TaskKey &) = default;
};

struct TaskStart
{
    TaskKey key;
    ServiceId service;
    std::string payload;
    Resources declared;
    Milliseconds lease{0};
};

// What a worker says about a task. Running and Throttled tasks hold resources; the others have
// ended on this worker. Checkpointed, Lapsed and Stopped tasks had started and did not finish; a
// checkpointed one continues from its saved progress when the run is started again.
enum class TaskState { Running, Throttled, Checkpointed, Finished, Failed, Lapsed, Stopped };

struct TaskReport
{
    TaskKey key;
    TaskState state = TaskState::Running;
    double usedCpus = 0;
    double usedMemoryMegabytes = 0;
    std::string result;  // of a finished or failed task
};

enum class WorkerReply {
    Done,  // 2xx
    Fenced,  // 409: the token is lower than one the worker has seen, or revoked
    Refused,  // any other status: the worker did nothing
    NotSent,
    Unknown,  // may have taken effect
};

struct WorkerOutcome
{
    WorkerReply reply = WorkerReply::NotSent;
    std::string detail;  // for explanations
};

// The state of a run on a worker at a revocation. NeverStarted also promises that it never will
// start under this or a lower token.
enum class RevokedState { NeverStarted, Running, Finished };

struct RevokeOutcome
{
    WorkerOutcome outcome;
    std::optional<RevokedState> state;  // set when the reply is Done
};

// A renewal. `lost` are the keys whose tasks the worker does not run any more.
struct RenewOutcome
{
    WorkerOutcome outcome;
    std::vector<TaskKey> lost;
};

// `state` is "in-service", "draining" or "drained".
struct WorkerHealth
{
    std::string state;
    std::size_t tasks = 0;
};

enum class TaskAction { Stop, Throttle, Checkpoint };

// Calls to worker agents. Each call ends in exactly one callback, on the thread of the client's
// io_context.
struct WorkerClient
{
    template <class... Arguments>
    using Call = std::function<void(const HttpEndpoint &, Arguments...)>;
    template <class Outcome>
    using Done = std::function<void(Outcome)>;

    Call<const TaskStart &, Done<WorkerOutcome>> start;
    Call<const std::vector<TaskKey> &, Milliseconds, Done<RenewOutcome>> renew;
    Call<Done<Result<std::vector<TaskReport>>>> tasks;
    Call<const TaskKey &, Done<RevokeOutcome>> revoke;
    Call<TaskAction, const TaskKey &, Done<WorkerOutcome>> act;
    Call<Done<WorkerOutcome>> drain;
    Call<Done<WorkerOutcome>> resume;  // ends a drain, for an absence without a reboot
    Call<Done<WorkerOutcome>> reboot;
    Call<Done<Result<WorkerHealth>>> health;
};

// The client must outlive the result. `deadline` is for each call.
WorkerClient makeWorkerClient(HttpClient &client, Milliseconds deadline);

// The text in messages, for example "running".
std::string_view taskStateText(TaskState state);

// The inverse of the JSON text of `GET /tasks`. A task that cannot be understood makes the whole
// list a failure, since a missing task would look lost.
Result<std::vector<TaskReport>> taskReportsFromJson(std::string_view text);

}  // namespace poplarstream
