#pragma once

#include <cstdint>  // for int64_t
#include <optional>  // for optional
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/jobs/model.hpp"  // for TaskRef, WorkerLife, RunEnd

namespace poplarstream::engine {

// Where an order goes and with which authority.
struct OrderTarget
{
    jobs::WorkerLife worker;
    std::string address;
    std::int64_t fencingToken = 0;
};

// Renews the leases at a worker, acknowledges ends, and asks what runs and what ended.
struct LookOrder
{
    OrderTarget target;
    std::int64_t number = 0;  // of the look
    std::int64_t acknowledged = 0;  // ends up to this number are durable
    std::optional<std::int64_t> leaseUntilClockMs;  // on the worker's clock
    Milliseconds wait{0};  // the answer may wait this long for an end
};

struct StartOrder
{
    OrderTarget target;
    jobs::TaskRef task;
    int run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::int64_t leaseUntilClockMs = 0;
};

struct StopOrder
{
    OrderTarget target;
    jobs::TaskRef task;
    int run = 0;
};

struct PaceOrder
{
    OrderTarget target;
    jobs::TaskRef task;
    int run = 0;
    int percent = 100;
};

using Order = std::variant<LookOrder, StartOrder, StopOrder, PaceOrder>;

struct RunningReport
{
    jobs::TaskRef task;
    int run = 0;
    std::string checkpoint;
    int percent = 0;
    std::int64_t load = 0;
};

struct EndReport
{
    std::int64_t number = 0;
    jobs::TaskRef task;
    int run = 0;
    jobs::RunEnd end = jobs::RunEnd::Done;
    std::string checkpoint;
};

// A worker's answer to a look.
struct LookAnswer
{
    std::int64_t bornMs = 0;  // 0 when the worker did not say
    std::int64_t clockMs = 0;
    std::vector<RunningReport> running;
    std::vector<EndReport> ended;
    bool isPartial = false;  // more ends follow after an acknowledgement
};

enum class StartResult {
    Started,  // also when the run was there already
    Fenced,  // the worker has seen a higher token
    Old,  // the worker knows a run that is as new
    Late,  // the lease given with the start had run out
    NoRoom,
    NoTicket,
    Unhealthy,  // the worker did nothing
    Refused,  // malformed, or for another life of the worker: it did not start
    Unknown,  // no answer: it may start yet
};

enum class StopResult { Accepted, Fenced, OtherLife, Unknown };

}  // namespace poplarstream::engine
