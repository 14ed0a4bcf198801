#pragma once

#include <cstdint>  // for uint64_t
#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/adapters/http_message.hpp"  // for HttpRequest, HttpResponse, HttpEndpoint
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/base/verdict.hpp"  // for Verdict

namespace boost::asio {
class io_context;
}

namespace poplarstream {

struct HttpClientLimits
{
    std::size_t connectionsPerEndpoint = 8;
    std::size_t waitingPerEndpoint = 256;  // requests that wait for a connection
    Milliseconds connectTimeout{1000};
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
};

// How far a request got.
enum class HttpDelivery {
    NotSent,  // no byte of it was handed to the network
    MayHaveBeenSent,  // some bytes were, and no complete answer came
    Answered,  // a complete answer came, with whatever status
};

enum class HttpError {
    None,
    Refused,  // nobody listens at the endpoint
    ConnectTimeout,
    Unreachable,  // any other connect error
    Overloaded,  // too many requests wait for a connection
    DeadlinePassed,
    ConnectionLost,
    BadAnswer,  // not HTTP, too large, without a length, or for another request
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
    // Covers waiting for a connection, connecting, sending and receiving.
    Milliseconds deadline{1000};
    // When not empty, the answer must repeat the request's value of this header. An answer with
    // another value, or with none, is dropped with its connection as BadAnswer.
    std::string echoHeader;
};

struct HttpClientCounts
{
    std::uint64_t connects = 0;
    std::uint64_t connectFaults = 0;
    std::uint64_t silentConnections = 0;  // closed because a probe or an answer did not come
    std::uint64_t staleConnections = 0;  // found closed, or with unexpected input, before reuse
    std::uint64_t badAnswers = 0;
};

// Connections of one endpoint. `open` includes the others.
struct HttpPoolSize
{
    std::size_t open = 0;
    std::size_t connecting = 0;
    std::size_t idle = 0;
    std::size_t waitingRequests = 0;
};

// Called for each probed connection: whether it answered with a status below 500.
using HttpProbeCallback = std::function<void(const HttpEndpoint &, bool isAlive)>;

// HTTP/1.1 client with a pool of keep-alive connections for each endpoint, on one io_context that a
// single thread runs and that must outlive the client. A connection carries one request at a time
// and is closed when its request ends without a complete answer, so a late answer cannot reach
// another request. Nothing is sent twice: retries are the caller's decision.
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

    // Ends a pending request with the fault Cancelled and closes its connection if it has one.
    void cancel(std::uint64_t call);

    // Sends `GET /health` on each idle connection and closes those that do not answer within
    // `deadline`. A connection is not used for requests while it is probed.
    void probeIdle(Milliseconds deadline, const HttpProbeCallback &callback);

    // Closes the idle connections of an endpoint at once and the others after their requests.
    void retire(const HttpEndpoint &endpoint);

    HttpClientCounts counts() const;
    HttpPoolSize poolSize(const HttpEndpoint &endpoint) const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

// The verdict on a request for work: Answered is Ran, NotSent is NotRun.
Verdict verdictOf(HttpDelivery delivery);

// Lower-case text of a fault for logs and explanations.
std::string_view httpErrorText(HttpError fault);

}  // namespace poplarstream
