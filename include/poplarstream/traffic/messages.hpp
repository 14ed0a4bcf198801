#pragma once

#include <cstdint>  // for uint8_t, uint32_t, uint64_t
#include <optional>  // for optional
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for ServiceId, TenantId, MinionId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/base/verdict.hpp"  // for Verdict

namespace poplarstream::traffic {

// Numbers that are never used twice by one incarnation of an entry host. 0 means none.
enum class RequestNumber : std::uint64_t {};
enum class AttemptNumber : std::uint64_t {};
enum class ConnectionNumber : std::uint64_t {};

// An urgent request as the caller sent it. The payload stays with the caller of this module.
struct Request
{
    ServiceId service;
    TenantId tenant;
    std::uint8_t urgency = 0;
    TimePoint deadline;
    std::uint64_t bytes = 0;
};

enum class Reason {
    UnknownService,
    UnknownTenant,
    Quota,  // the tenant's quota is used up
    DeadlineTooClose,  // queue and service time leave no room before the deadline
    QueueFull,
    DeadlinePassed,
    NoMinion,  // no minion of the service can be reached
    MinionRefused,
    MinionFailed,  // the minion or the connection failed after bytes were sent
    Leaving,  // this entry host stops
};

// Plain English, without any text of the caller.
std::string_view reasonText(Reason reason);

// Start a TCP connection to `minion`; answer with onConnected() or onConnectionFailure().
struct OpenConnection
{
    ConnectionNumber connection{};
    MinionId minion;
};

// Send the request on this connection with `formatAttemptId(attempt)` as Poplar-Request-Id.
struct Dispatch
{
    RequestNumber request{};
    AttemptNumber attempt{};
    ConnectionNumber connection{};
    MinionId minion;
    TimePoint deadline;
};

// Send `GET /health` on this idle connection.
struct SendProbe
{
    ConnectionNumber connection{};
};

// Close the connection; no event is due for it afterwards.
struct CloseConnection
{
    ConnectionNumber connection{};
};

// The answer just passed to onResponse() is the answer to this request. Emitted at most once for a
// request, and never together with FailRequest.
struct DeliverResponse
{
    RequestNumber request{};
};

// The request ends without an answer. `retryAfter` is 0 where a retry makes no sense.
struct FailRequest
{
    RequestNumber request{};
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::DeadlinePassed;
    Milliseconds retryAfter{0};
};

using Action = std::variant<OpenConnection, Dispatch, SendProbe, CloseConnection, DeliverResponse,
                            FailRequest>;
using Actions = std::vector<Action>;

// `Poplar-Load` and `Poplar-State` of an answer or a probe's answer.
struct LoadReport
{
    std::uint32_t busy = 0;
    std::uint32_t slots = 0;  // 0: the minion reported nothing
    bool leaving = false;
};

enum class ResponseKind {
    Ok,
    Refused,  // 503 with verdict not-run: the minion proves that it has not started the work
    Failed,  // any other failure
};

// `requestId` is the text of Poplar-Request-Id in the answer.
struct Response
{
    std::string_view requestId;
    ResponseKind kind = ResponseKind::Ok;
    LoadReport load;
};

}  // namespace poplarstream::traffic
