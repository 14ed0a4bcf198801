#pragma once

#include <cstdint>  // for uint64_t
#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/adapters/http_message.hpp"  // for HttpRequest, HttpResponse, HttpEndpoint
#include "poplarstream/base/boot_clock.hpp"  // for bootTime
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/base/verdict.hpp"  // for Verdict

namespace boost::asio {
class io_context;
}

namespace poplarstream {

struct HttpClientLimits
{
    std::size_t connectionsPerEndpoint = 8;
    std::size_t waitingPerEndpoint = 256;  // requests queued for a connection
    Milliseconds connectTimeout{1000};
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    // Must go on while the process is paused, so that no request is written after its deadline.
    std::function<TimePoint()> clock = bootTime;
};

// How far a request got.
enum class HttpDelivery {
    NotSent,  // no byte was handed to the network
    MayHaveBeenSent,  // some bytes were, and no complete response arrived
    Answered,  // a complete response arrived, with any status
};

enum class HttpError {
    None,
    Refused,  // nothing listens at the endpoint
    ConnectTimeout,
    Unreachable,  // any other connect error
    Overloaded,  // too many requests wait for a connection
    DeadlinePassed,
    ConnectionLost,
    InvalidResponse,  // not HTTP, too large, without a length, or for another request
    Withheld,  // the caller no longer permitted the request when it was about to be written
    BadRequest,  // a header or the target cannot be written
    Cancelled,
};

struct HttpOutcome
{
    HttpDelivery delivery = HttpDelivery::NotSent;
    HttpError error = HttpError::None;
    HttpResponse response;  // empty unless answered
};

using HttpCallback = std::function<void(HttpOutcome)>;

struct HttpCallOptions
{
    // Covers waiting for a connection, connecting, sending and receiving. Nothing is written after
    // it, also if the process was paused meanwhile. A response that has arrived by then is still
    // read.
    Milliseconds deadline{1000};
    // When not empty, the response must repeat the request's value of this header. If it does not,
    // the call fails with InvalidResponse and its connection is closed.
    std::string echoHeader;
    // When set, asked right before the request is written, which may be long after send() returned.
    // If it returns false, the call ends as NotSent with HttpError::Withheld. Must not use the
    // client.
    std::function<bool()> mayWrite;
};

struct HttpClientCounts
{
    std::uint64_t connects = 0;
    std::uint64_t connectErrors = 0;
    std::uint64_t unresponsiveConnections = 0;  // closed after a probe or a call timed out
    std::uint64_t staleConnections = 0;  // found closed, or with unexpected input, before reuse
    std::uint64_t invalidResponses = 0;
    std::uint64_t withheldRequests = 0;  // not written, after their deadline or without permission
};

// Connections of one endpoint. `open` includes the others.
struct HttpPoolSize
{
    std::size_t open = 0;
    std::size_t connecting = 0;
    std::size_t idle = 0;
    std::size_t waitingRequests = 0;
};

// Called for each probed connection; `isAlive` means a response with a status below 500.
using HttpProbeCallback = std::function<void(const HttpEndpoint &, bool isAlive)>;

// HTTP/1.1 client with a pool of keep-alive connections per endpoint. Runs on one io_context, which
// must be single-threaded and outlive the client. A connection carries one request at a time and is
// closed when its request ends without a complete response, so a late response cannot be mistaken
// for that of another request. Nothing is sent twice: retries are up to the caller.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &io, const HttpClientLimits &limits = {});
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    // Closes all connections; pending callbacks are not called.
    ~HttpClient();

    // Sends a request and calls `callback` exactly once, never from within send(). Returns a number
    // for cancel().
    std::uint64_t send(const HttpEndpoint &endpoint, HttpRequest request,
                       const HttpCallOptions &options, HttpCallback callback);

    // Ends a pending request with HttpError::Cancelled and closes its connection if it has one.
    void cancel(std::uint64_t call);

    // Sends `GET /health` on each idle connection and closes those that do not respond within
    // `deadline`. A connection carries no requests while it is probed.
    void probeIdle(Milliseconds deadline, const HttpProbeCallback &callback);

    // Closes the idle connections of an endpoint now and the others after their current request.
    void retire(const HttpEndpoint &endpoint);

    HttpClientCounts counts() const;
    HttpPoolSize poolSize(const HttpEndpoint &endpoint) const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

// The verdict on a request for work: Answered is Ran, NotSent is NotRun.
Verdict verdictOf(HttpDelivery delivery);

// Lower-case text of an error for logs and explanations.
std::string_view httpErrorText(HttpError error);

}  // namespace poplarstream
