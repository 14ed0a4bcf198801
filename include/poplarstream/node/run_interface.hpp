#pragma once

#include <cstdint>  // for uint32_t
#include <functional>  // for function
#include <string>  // for string
#include <variant>  // for variant

#include "poplarstream/adapters/http_message.hpp"  // for HttpResponse
#include "poplarstream/base/id.hpp"  // for RunId, ServiceId, AccountId
#include "poplarstream/base/time.hpp"  // for TimePoint

namespace poplarstream {

// Responds to a caller. May be called once, from any thread.
using Reply = std::function<void(HttpResponse)>;

// How often a call may be forwarded between entry hosts. Two instead of one, because a receiver
// with a newer configuration may compute another home zone. The limit prevents forwarding loops.
inline constexpr std::uint32_t maxRunCallHops = 2;

// A slow request that passed the checks of the caller interface and is to be accepted as a run.
struct RunSubmission
{
    ServiceId service;
    AccountId tenant;
    std::string idempotencyKey;
    std::string payload;
    TimePoint deadline;  // of the run
    TimePoint respondBy;  // of the acceptance
    Reply reply;
    std::uint32_t hops = 0;  // times forwarded between entry hosts
};

// Requests the state and result of a tenant's run.
struct RunQuery
{
    RunId run;
    AccountId tenant;
    Reply reply;
    std::uint32_t hops = 0;  // times forwarded between entry hosts
};

// Requests the cancellation of a tenant's run.
struct RunCancellation
{
    RunId run;
    AccountId tenant;
    Reply reply;
    std::uint32_t hops = 0;  // times forwarded between entry hosts
};

using RunCall = std::variant<RunSubmission, RunQuery, RunCancellation>;

}  // namespace poplarstream
