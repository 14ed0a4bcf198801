#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for RunId, HostId, RequestId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/base/verdict.hpp"  // for Verdict
#include "poplarstream/records/run_record.hpp"  // for FencingToken

namespace poplarstream::history {

// A caller was told that its run is accepted.
struct RunAcceptedResponse
{
    RunId run;
    bool isIdempotent = false;
};

// A caller was told how its run ended. `isCancelled`: as cancelled.
struct RunCompletionResponse
{
    RunId run;
    Verdict verdict = Verdict::Ran;
    bool isCancelled = false;
};

// A worker began to execute a run; `isContinued`: from a checkpoint of an earlier execution that
// had stopped.
struct RunExecuted
{
    RunId run;
    HostId worker;
    FencingToken token;
    bool isContinued = false;
};

// At the end of the history the log still knows the run, open or ended.
struct RunKnownAtEnd
{
    RunId run;
};

// A host became, or ceased to be, a member of a pool.
struct PoolJoined
{
    HostId host;
    PoolId pool;
};
struct PoolLeft
{
    HostId host;
    PoolId pool;
};

// How many hosts of a pool may be away, from now on.
struct BudgetSet
{
    PoolId pool;
    std::uint32_t maxAway = 0;
};

// A host of a pool went away. `isPlanned`: the system let it go, rather than a failure.
struct AbsenceBegan
{
    HostId host;
    PoolId pool;
    bool isPlanned = false;
};
struct AbsenceEnded
{
    HostId host;
};

// A caller sent a request, and got an answer. `content` identifies what was asked and what the
// answer belongs to.
struct RequestSent
{
    RequestId request;
    std::uint64_t content = 0;
};
struct ResponseReceived
{
    RequestId request;
    std::uint64_t content = 0;
    bool isComplete = true;
};

// The first evidence that an endpoint leaves, and new work that it was sent. An endpoint is a
// minion or a worker, by its name.
struct EndpointLeaving
{
    std::string endpoint;
};
struct EndpointReturned
{
    std::string endpoint;
};
struct WorkSent
{
    std::string endpoint;
};

// A process applied a version of the configuration. A restarted process has another id.
struct ConfigInForce
{
    std::string process;
    std::uint64_t version = 0;
};

// A stop that an operator or a wave planned, and a request that ended without its answer because
// its endpoint or entry host went away.
struct PlannedStop
{
    std::string endpoint;
};
struct RequestCut
{
    RequestId request;
    std::string endpoint;
};

using EventBody = std::variant<RunAcceptedResponse, RunCompletionResponse, RunExecuted,
                               RunKnownAtEnd, PoolJoined, PoolLeft, BudgetSet, AbsenceBegan,
                               AbsenceEnded, RequestSent, ResponseReceived, EndpointLeaving,
                               EndpointReturned, WorkSent, ConfigInForce, PlannedStop, RequestCut>;

// Something that a caller, a minion, a worker or the log saw. A history lists events in the order
// in which they happened.
struct Event
{
    TimePoint at;
    EventBody body;
};

}  // namespace poplarstream::history
