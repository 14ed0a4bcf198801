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
    Milliseconds writeTimeout{20'000};  // for one response
    Milliseconds idleTimeout{60'000};  // between requests
    // How long an idle connection stays open after shutdown() began, so that a request already in
    // flight does not find it closed.
    Milliseconds shutdownIdleTimeout{500};
};

struct HttpServerCounts
{
    std::uint64_t accepted = 0;
    std::uint64_t refusedConnections = 0;  // over the connection limit
    std::uint64_t requests = 0;  // passed to the handler
    std::uint64_t rejected = 0;  // answered with 4xx without calling the handler
    std::uint64_t truncated = 0;  // closed by the peer in the middle of a request
    std::uint64_t timedOut = 0;
    std::uint64_t handlerErrors = 0;  // exceptions, and requests dropped without a response
};

// Sends the response. May be called later, on the thread of the io_context. Calls after the first,
// or after the connection was closed, have no effect. If all copies are destroyed without a call,
// the client gets status 500 with the verdict may-have-run.
using HttpRespond = std::function<void(HttpResponse)>;

// Receives each complete request. An exception is counted and answered with status 500.
using HttpHandler = std::function<void(HttpRequest, HttpRespond)>;

// HTTP/1.1 server on one io_context, which must be single-threaded and outlive the server. The
// requests of a connection are handled one after another, so pipelined requests are answered in
// order.
class HttpServer
{
public:
    // Port 0 picks a free port. Fails if the address cannot be parsed or bound.
    static Result<HttpServer> listen(boost::asio::io_context &io, const HttpEndpoint &endpoint,
                                     HttpHandler handler, const HttpServerLimits &limits = {});

    HttpServer(HttpServer &&other) noexcept = default;
    HttpServer &operator=(HttpServer &&other) noexcept;
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    // Closes all connections immediately; see shutdown().
    ~HttpServer();

    std::uint16_t port() const;
    HttpServerCounts counts() const;
    std::size_t connectionCount() const;

    // Graceful shutdown: stops accepting, answers the requests that are already arriving with
    // `Connection: close`, then calls `drained` once.
    void shutdown(std::function<void()> drained);

private:
    struct State;

    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
