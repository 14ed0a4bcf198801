#pragma once

#include <cstdint>  // for int64_t
#include <optional>  // for optional
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/jobs/model.hpp"  // for TaskRef, WorkerIncarnation, AttemptResult

namespace poplarstream::engine {

// Where an order goes and with which authority.
struct CommandTarget
{
    jobs::WorkerIncarnation worker;
    std::string address;
    std::int64_t fencingToken = 0;
};

// Renews the leases at a worker, acknowledges ends, and asks what runs and what completed.
struct PollCommand
{
    CommandTarget target;
    std::int64_t number = 0;  // of the poll
    std::int64_t acknowledged = 0;  // ends up to this number are durable
    std::optional<std::int64_t> leaseUntilClockMs;  // on the worker's clock
    Milliseconds wait{0};  // the answer may wait this long for an end
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

struct PaceCommand
{
    CommandTarget target;
    jobs::TaskRef task;
    int run = 0;
    int percent = 100;
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
    jobs::AttemptResult end = jobs::AttemptResult::Done;
    std::string checkpoint;
};

// A worker's answer to a poll.
struct PollResponse
{
    std::int64_t startedUnixMs = 0;  // 0 when the worker did not say
    std::int64_t clockMs = 0;
    std::vector<RunningReport> running;
    std::vector<CompletionReport> completed;
    bool isPartial = false;  // more ends follow after an acknowledgement
};

enum class StartResult {
    Started,  // also when the run was there already
    Fenced,  // the worker has seen a higher token
    Stale,  // the worker knows a run that is as new
    Late,  // the lease given with the start had run out
    NoCapacity,
    NoTicket,
    Unhealthy,  // the worker did nothing
    Refused,  // malformed, or for another incarnation of the worker: it did not start
    Unknown,  // no answer: it may start yet
};

enum class StopResult { Accepted, Fenced, OtherIncarnation, Unknown };

}  // namespace poplarstream::engine
