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

// A caller received the response that its run is accepted.
struct RunAcceptedResponse
{
    RunId run;
    bool isIdempotent = false;
};

// A caller received the result of its run. `isCancelled`: the run was reported as cancelled.
struct RunCompletionResponse
{
    RunId run;
    Verdict verdict = Verdict::Ran;
    bool isCancelled = false;
};

// A worker started to execute a run. `isContinued`: from a checkpoint of an earlier execution that
// has stopped.
struct RunExecuted
{
    RunId run;
    HostId worker;
    FencingToken token;
    bool isContinued = false;
};

// At the end of the history the log still knows the run, whether active or completed.
struct RunKnownAtEnd
{
    RunId run;
};

// A host joined or left a pool.
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

// From now on, at most `maxAway` hosts of the pool may be away.
struct BudgetSet
{
    PoolId pool;
    std::uint32_t maxAway = 0;
};

// A host of a pool went away. `isPlanned`: by a granted absence rather than by a failure.
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

// A caller sent a request, or received a response. `content` identifies the request content, and
// the content that the response belongs to.
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

// The first sign that an endpoint is leaving, its return, and new work that was sent to it. An
// endpoint is a minion or a worker, identified by its name.
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

// A process applied a version of the configuration. A restarted process has a different id.
struct ConfigInForce
{
    std::string process;
    std::uint64_t version = 0;
};

// A stop planned by an operator or a wave, and a request that ended without a response because its
// endpoint or entry host went away.
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

// Something observed by a caller, a minion, a worker or the log. A history lists events in the
// order in which they occurred.
struct Event
{
    TimePoint at;
    EventBody body;
};

}  // namespace poplarstream::history
