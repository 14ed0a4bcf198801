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

// Conversion between values and the JSON messages of worker agents (docs/design.md, section 10).
// Sending them is left to the caller.

// How far a reader has read the list of ended tasks of one boot of a worker.
struct TaskListCursor
{
    std::uint64_t boot = 0;
    std::uint64_t change = 0;
};

// The response to `GET /tasks`: all running tasks, and the tasks that ended after the requested
// cursor. `cursor` is the one to request next.
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

// What the outcome of a command proves about its task: Refused for a start that the worker
// certainly did not accept (not sent, or answered with 409 or 503), otherwise the state in the
// response. Empty if the outcome proves nothing.
std::optional<TaskObservation> observationOf(const WorkerCommand &command,
                                             const HttpOutcome &outcome);

// `requestedAt` is the time before the request was sent. The age of the usage counts from then, so
// that a report never looks more recent than it is. A task that cannot be parsed makes the whole
// list a failure, since a missing task would look lost.
Result<TaskList> taskListFromJson(const HostId &host, std::string_view text, TimePoint requestedAt);

// The text in messages, for example "never-started", and its inverse. TaskState::Refused has no
// text: the worker reports it as status 409 or 503.
std::string_view taskStateText(TaskState state);
std::optional<TaskState> taskStateFromText(std::string_view text);

}  // namespace poplarstream
