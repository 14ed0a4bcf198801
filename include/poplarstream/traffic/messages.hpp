#pragma once

#include <cstdint>  // for uint8_t, uint32_t, uint64_t
#include <optional>  // for optional
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for ServiceId, AccountId, MinionId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/base/verdict.hpp"  // for Verdict

namespace poplarstream::traffic {

// Numbers are unique within one incarnation of an entry host; 0 means none.
enum class RequestNumber : std::uint64_t {};
enum class AttemptNumber : std::uint64_t {};
enum class ConnectionNumber : std::uint64_t {};

// An urgent request as received from the caller. The user of this module keeps the payload.
struct Request
{
    ServiceId service;
    AccountId tenant;
    std::uint8_t urgency = 0;
    TimePoint deadline;
    std::uint64_t bytes = 0;
};

enum class Reason {
    UnknownService,
    UnknownTenant,
    Quota,  // the tenant's quota is used up
    DeadlineTooClose,  // expected queueing and service time exceed the time left
    QueueFull,
    DeadlinePassed,
    NoMinion,  // no minion of the service is reachable
    MinionRefused,
    MinionFailed,  // the minion or the connection failed after bytes were sent
    Leaving,  // this entry host is shutting down
};

// Returns an English description; it never contains text supplied by a caller.
std::string_view reasonText(Reason reason);

// Open a TCP connection to `minion`; report the result by onConnected() or onConnectionFailure().
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

// Close the connection; no further event is expected for it.
struct CloseConnection
{
    ConnectionNumber connection{};
};

// Hand the response just passed to onResponse() to the caller of this request. Emitted at most
// once per request, and never together with FailRequest.
struct DeliverResponse
{
    RequestNumber request{};
};

// End the request without a response. `retryAfter` is 0 where a retry is pointless.
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

// `Poplar-Load` and `Poplar-State` of a response to a request or a probe.
struct LoadReport
{
    std::uint32_t busy = 0;
    std::uint32_t slots = 0;  // 0: no load was reported
    bool leaving = false;
};

enum class ResponseKind {
    Ok,
    Refused,  // 503 with verdict not-run: the minion guarantees that it did not start the request
    Failed,  // any other failure
};

// `requestId` is the value of Poplar-Request-Id in the response.
struct Response
{
    std::string_view requestId;
    ResponseKind kind = ResponseKind::Ok;
    LoadReport load;
};

}  // namespace poplarstream::traffic
