#pragma once

#include <cstdint>  // for int64_t
#include <optional>  // for optional
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/jobs/model.hpp"  // for TaskRef, WorkerIncarnation, AttemptResult

namespace poplarstream::engine {

// The receiver of a command, and the token that authorizes it.
struct CommandTarget
{
    jobs::WorkerIncarnation worker;
    std::string address;
    std::int64_t fencingToken = 0;
};

// Renews the leases on a worker, acknowledges completions, and asks for running and completed runs.
struct PollCommand
{
    CommandTarget target;
    std::int64_t number = 0;  // increases with each poll of a worker
    std::int64_t acknowledged = 0;  // completions up to this number are durable
    std::optional<std::int64_t> leaseUntilClockMs;  // on the worker's clock
    Milliseconds wait{0};  // the worker may delay its response this long for a completion
};

struct StartCommand
{
    CommandTarget target;
    jobs::TaskRef task;
    int run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::int64_t leaseUntilClockMs = 0;
};

struct StopCommand
{
    CommandTarget target;
    jobs::TaskRef task;
    int run = 0;
};

// Sets the pace of a filling task, in percent of what it would use otherwise.
struct PaceCommand
{
    CommandTarget target;
    jobs::TaskRef task;
    int run = 0;
    int percent = 0;
};

using Command = std::variant<PollCommand, StartCommand, StopCommand, PaceCommand>;

struct RunningReport
{
    jobs::TaskRef task;
    int run = 0;
    std::string checkpoint;
    int percent = 0;
    std::int64_t load = 0;
};

struct CompletionReport
{
    std::int64_t number = 0;
    jobs::TaskRef task;
    int run = 0;
    jobs::AttemptResult result = jobs::AttemptResult::Done;
    std::string checkpoint;
};

// A worker's response to a poll.
struct PollResponse
{
    std::int64_t startedUnixMs = 0;  // 0 if the worker didn't report it
    std::int64_t clockMs = 0;
    std::vector<RunningReport> running;
    std::vector<CompletionReport> completed;
    bool isPartial = false;  // more completions follow after an acknowledgement
};

enum class StartResult {
    Started,  // also if the run was already there
    Fenced,  // the worker has seen a higher token
    Stale,  // the worker knows a run with the same or a higher number
    Late,  // the lease in the command had expired on arrival
    NoCapacity,
    NoTicket,
    Unhealthy,  // overloaded or faulty; the run didn't start
    Refused,  // malformed or for another incarnation; the run didn't start
    ConnectionLost,  // the connection ended with the command on it; the run may still start
    Unknown,  // no response in time; the run may still start
};

// Of a stop command or a pace command.
enum class StopResult { Accepted, Fenced, OtherIncarnation, Unknown };

}  // namespace poplarstream::engine
