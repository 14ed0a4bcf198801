#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr, enable_shared_from_this
#include <optional>  // for optional
#include <string>  // for string

#include <boost/asio/ip/tcp.hpp>  // for tcp::socket
#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <boost/beast/core/flat_buffer.hpp>  // for flat_buffer
#include <boost/beast/http/parser.hpp>  // for request_parser
#include <boost/beast/http/string_body.hpp>  // for string_body

#include "poplarstream/adapters/http_server.hpp"  // for HttpHandler, HttpServerLimits

namespace poplarstream {

// State shared by the connections of a server. `isShuttingDown` is set once shutdown() was called.
struct HttpServerContext
{
    HttpServerLimits limits;
    HttpHandler handler;
    HttpServerCounts counts;
    bool isShuttingDown = false;
};

// An accepted connection of an HttpServer. Reads a request, waits for the response, writes it, and
// starts over. Kept alive by its pending operations, and by its server until it calls `ended`.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerContext> context,
                   std::function<void(const std::shared_ptr<HttpConnection> &)> ended);

    void start();

    // Shortens the idle timeout, since the server is shutting down.
    void beginShutdown();

    // Closes the socket and calls `ended`.
    void close();

    // Writes the response to request number `request`; outdated numbers are ignored.
    void respond(std::uint64_t request, HttpResponse response);

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    enum class Phase { Idle, Reading, Handling, Writing, Draining, Closed };

    void awaitRequest();
    void readHeader();
    void onHeader(boost::system::error_code error);
    void readBody();
    void sendContinue();
    void onBody(boost::system::error_code error);
    void dispatch();
    void onReadError(boost::system::error_code error);
    void reject(unsigned status, const std::string &reason);
    void write(HttpResponse response, bool mayKeep);
    void drainAndClose();
    void discardInput();
    void startTimer(Milliseconds duration);
    void stopTimer();
    void onTimeout();
    bool hasPendingInput();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<HttpServerContext> context_;
    std::function<void(const std::shared_ptr<HttpConnection> &)> ended_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::string remote_;
    std::uint64_t request_ = 0;  // counts the requests of this connection
    std::uint64_t timerGeneration_ = 0;  // to ignore a queued expiry of an earlier timer
    std::size_t discarded_ = 0;
    Phase phase_ = Phase::Idle;
    bool timedOut_ = false;
    bool keepAlive_ = false;
    bool isHead_ = false;
};

}  // namespace poplarstream
