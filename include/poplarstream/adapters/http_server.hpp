#pragma once

#include <cstdint>  // for uint16_t, uint64_t
#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/adapters/http_message.hpp"  // for HttpRequest, HttpResponse, HttpEndpoint
#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/base/time.hpp"  // for Milliseconds

namespace boost::asio {
class io_context;
}

namespace poplarstream {

struct HttpServerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024 * 1024;
    std::size_t connections = 4096;
    Milliseconds headerTimeout{10'000};  // from the first byte of a request to its last header
    Milliseconds bodyTimeout{20'000};
    Milliseconds writeTimeout{20'000};  // for one answer
    Milliseconds idleTimeout{60'000};  // between requests
    // How long an idle connection may still bring a request after shutdown() began. A request that
    // was already on its way would otherwise meet a closed connection.
    Milliseconds leavingIdle{500};
};

struct HttpServerCounts
{
    std::uint64_t accepted = 0;
    std::uint64_t refusedConnections = 0;  // over the limit of connections
    std::uint64_t requests = 0;  // handed to the handler
    std::uint64_t rejected = 0;  // answered with 4xx before the handler
    std::uint64_t truncated = 0;  // ended by the peer in the middle of a request
    std::uint64_t timedOut = 0;
    std::uint64_t handlerFaults = 0;  // exceptions, and requests dropped without an answer
};

// Sends the answer. May be called later, from the thread of the io_context; calls after the first
// change nothing, and so does a call after the connection has ended. When all copies are destroyed
// without a call, the caller gets status 500 with verdict may-have-run.
using HttpRespond = std::function<void(HttpResponse)>;

// Receives each complete request. An exception is counted and answered with status 500.
using HttpHandler = std::function<void(HttpRequest, HttpRespond)>;

// An HTTP/1.1 server on one io_context, which a single thread runs and which must outlive the
// server. Requests of one connection are handled one after another, so pipelined requests are
// answered in order.
class HttpServer
{
public:
    // Port 0 picks a free port. Fails when the address cannot be parsed or bound.
    static Result<HttpServer> listen(boost::asio::io_context &io, const HttpEndpoint &endpoint,
                                     HttpHandler handler, const HttpServerLimits &limits = {});

    HttpServer(HttpServer &&other) noexcept = default;
    HttpServer &operator=(HttpServer &&other) noexcept;
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    // Closes everything at once; see shutdown().
    ~HttpServer();

    std::uint16_t port() const;
    HttpServerCounts counts() const;
    std::size_t connectionCount() const;

    // Graceful shutdown: stops accepting, answers the requests that have begun to arrive with
    // `Connection: close`, then calls `drained` once.
    void shutdown(std::function<void()> drained);

private:
    struct State;

    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
