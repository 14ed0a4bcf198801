#pragma once

#include <cstdint>  // for uint64_t
#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/adapters/http_client.hpp"  // for HttpOutcome
#include "poplarstream/adapters/http_message.hpp"  // for HttpRequest
#include "poplarstream/base/id.hpp"  // for HostId
#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/records/record.hpp"  // for Offset
#include "poplarstream/runs/worker_command.hpp"  // for WorkerCommand, TaskObservation
#include "poplarstream/runs/worker_view.hpp"  // for UsageReport

namespace poplarstream {

// The JSON messages of worker agents (docs/design.md, section 10) as values. Sending them is left
// to the caller.

// How far a reader has read the ended tasks of one boot of a worker.
struct TaskListCursor
{
    std::uint64_t boot = 0;
    std::uint64_t change = 0;
};

// An answer to `GET /tasks`: all running tasks, and the tasks that ended after the place that was
// asked for. `cursor` is the one to ask for next.
struct TaskList
{
    TaskListCursor cursor;
    Offset grant = 0;
    Offset rebootedFor = 0;
    std::optional<Offset> undrained;  // grant of the last undrain since the boot
    bool isDraining = false;
    bool isDrained = false;
    std::optional<UsageReport> usage;
    std::vector<TaskObservation> tasks;
};

const HostId &workerOf(const WorkerCommand &command);

HttpRequest requestOf(const WorkerCommand &command);

// `target` is "/drain", "/reboot" or "/undrain".
HttpRequest grantRequest(std::string_view target, Offset grant);

HttpRequest taskListRequest(const TaskListCursor &cursor);

// What the outcome of a command proves about its task: Refused for a start that was
// certainly not taken (not sent, or answered with 409 or 503), and the state in the answer
// otherwise. Empty when the outcome proves nothing.
std::optional<TaskObservation> observationOf(const WorkerCommand &command,
                                             const HttpOutcome &outcome);

// `asked` is the reader's time before the request was sent, from which the age of the usage counts:
// a report must not look fresher than it is. A task that cannot be understood makes the whole list
// a failure, since a missing task would look lost.
Result<TaskList> taskListFromJson(const HostId &host, std::string_view text, TimePoint asked);

// The text in messages, for example "never-started", and its inverse. A refusal has no text: it is
// status 409 or 503.
std::string_view taskStateText(TaskState state);
std::optional<TaskState> taskStateFromText(std::string_view text);

}  // namespace poplarstream
