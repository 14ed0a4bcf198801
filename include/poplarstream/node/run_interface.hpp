#pragma once

#include <cstdint>  // for uint32_t
#include <functional>  // for function
#include <string>  // for string
#include <variant>  // for variant

#include "poplarstream/adapters/http_message.hpp"  // for HttpResponse
#include "poplarstream/base/id.hpp"  // for RunId, ServiceId, TenantId
#include "poplarstream/base/time.hpp"  // for TimePoint

namespace poplarstream {

// Answers a caller. May be called from any thread, once.
using Reply = std::function<void(HttpResponse)>;

// How often a call may be passed on between entry hosts. Two, not one, since a receiver that
// already follows a newer configuration may know another home zone; the bound rules out a loop.
inline constexpr std::uint32_t maxRunCallHops = 2;

// A slow request that passed the checks of the callers' interface, to be accepted as a run.
struct RunSubmission
{
    ServiceId service;
    TenantId tenant;
    std::string idempotencyKey;
    std::string payload;
    TimePoint deadline;  // of the run
    TimePoint answerBy;  // of the acceptance
    Reply reply;
    std::uint32_t hops = 0;  // how often it was passed on between entry hosts
};

// Asks for the state and result of a tenant's run.
struct RunQuery
{
    RunId run;
    TenantId tenant;
    Reply reply;
    std::uint32_t hops = 0;  // how often it was passed on between entry hosts
};

// Asks that a tenant's run is cancelled.
struct RunCancellation
{
    RunId run;
    TenantId tenant;
    Reply reply;
    std::uint32_t hops = 0;  // how often it was passed on between entry hosts
};

using RunCall = std::variant<RunSubmission, RunQuery, RunCancellation>;

}  // namespace poplarstream
