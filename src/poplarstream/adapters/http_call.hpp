#pragma once

#include <chrono>  // for steady_clock
#include <functional>  // for function
#include <memory>  // for shared_ptr, enable_shared_from_this
#include <optional>  // for optional

#include <boost/asio/ip/tcp.hpp>  // for tcp::socket
#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <boost/beast/core/flat_buffer.hpp>  // for flat_buffer
#include <boost/beast/http/parser.hpp>  // for response_parser
#include <boost/beast/http/string_body.hpp>  // for string_body

#include "poplarstream/adapters/http_client.hpp"  // for HttpCallback, HttpClientLimits

namespace poplarstream {

class HttpClientConnection;

// A request that is queued for a connection or in flight on one.
struct HttpCall
{
    HttpCall(boost::asio::io_context &io, HttpRequest content, HttpCallOptions choices,
             HttpCallback receiver)
        : deadline(io)
        , request(std::move(content))
        , options(std::move(choices))
        , callback(std::move(receiver))
    {}

    std::uint64_t number = 0;
    HttpEndpoint endpoint;
    boost::asio::steady_timer deadline;
    TimePoint writeBefore{};  // by the clock of the client's limits
    HttpRequest request;
    HttpCallOptions options;
    HttpCallback callback;
    std::weak_ptr<HttpClientConnection> connection;  // while in flight
    bool isDone = false;
    bool isExtended = false;  // the deadline has passed, but a response has arrived

    // Ends the call. Later outcomes are ignored.
    void finish(HttpOutcome outcome);
};

// A client connection: connects, then carries calls one at a time. `changed` is called after each
// change of phase that matters to the owner.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    enum class Phase { Connecting, Idle, Busy, Probing, Closed };
    using Changed = std::function<void(HttpClientConnection &)>;

    HttpClientConnection(boost::asio::io_context &io, HttpEndpoint endpoint,
                         const HttpClientLimits &limits, Changed changed);

    void connect();

    // Sends the call. Requires Phase::Idle.
    void startCall(std::shared_ptr<HttpCall> call, Phase phase);

    // Closes the socket. A call in flight ends with `error` and counts as possibly sent.
    void close(HttpError error);

    // Closes after the current call.
    void retire() { isRetired_ = true; }

    // Whether the peer has neither closed this idle connection nor sent anything on it.
    bool isReusable();

    // Whether the peer has sent something that was not read yet.
    bool hasUnreadInput() const;

    Phase phase() const { return phase_; }
    const HttpEndpoint &endpoint() const { return endpoint_; }
    // Why connecting failed; None if it did not.
    HttpError connectError() const { return connectError_; }

    // Number of the newest call of the client when this connection last became idle.
    std::uint64_t confirmedAtCall() const { return confirmedAtCall_; }
    // When that was.
    std::chrono::steady_clock::time_point confirmedAt() const { return confirmedAt_; }
    void confirmAlive(std::uint64_t newestCall)
    {
        confirmedAtCall_ = newestCall;
        confirmedAt_ = std::chrono::steady_clock::now();
    }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void onConnected(boost::system::error_code error);
    void onWritten(boost::system::error_code error, std::size_t bytes);
    void read();
    void onRead(boost::system::error_code error, std::size_t bytes);
    // Passes the buffered bytes to the parser; no error if it needs more.
    void parse(boost::system::error_code &error);
    void onResponse(boost::system::error_code error);
    void accept(HttpResponse response, bool keep);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    HttpEndpoint endpoint_;
    HttpClientLimits limits_;
    Changed changed_;
    boost::beast::flat_buffer buffer_;
    std::string request_;  // until it is written
    bool isWriting_ = false;
    std::size_t readBytes_;  // size of the next read
    std::optional<Parser> parser_;
    std::shared_ptr<HttpCall> call_;
    std::uint64_t confirmedAtCall_ = 0;
    std::chrono::steady_clock::time_point confirmedAt_{};
    Phase phase_ = Phase::Connecting;
    HttpError connectError_ = HttpError::None;
    bool isRetired_ = false;
};

}  // namespace poplarstream
