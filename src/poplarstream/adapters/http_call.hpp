#pragma once

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

// A request that waits for, or is on, a connection.
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
    HttpRequest request;
    HttpCallOptions options;
    HttpCallback callback;
    std::weak_ptr<HttpClientConnection> connection;  // while on one
    bool isDone = false;

    // Ends the call. Only the first outcome counts.
    void finish(HttpOutcome outcome);
};

// One connection of a pool: connects, then carries calls one at a time. `changed` is called after
// each change of state that the pool has to look at.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    enum class Phase { Connecting, Idle, Busy, Probing, Closed };
    using Changed = std::function<void(HttpClientConnection &)>;

    HttpClientConnection(boost::asio::io_context &io, HttpEndpoint endpoint,
                         const HttpClientLimits &limits, Changed changed);

    void connect();

    // Sends the call. Requires Phase::Idle.
    void carry(std::shared_ptr<HttpCall> call, Phase phase);

    // Closes the socket. A call on it ends with `fault`; it may have been sent.
    void close(HttpError fault);

    // Closes after the present call.
    void retire() { isRetired_ = true; }

    // Whether the peer has neither closed an idle connection nor sent anything on it.
    bool isFresh();

    Phase phase() const { return phase_; }
    const HttpEndpoint &endpoint() const { return endpoint_; }
    // Why the connect failed; None if it did not.
    HttpError connectFault() const { return connectFault_; }

    // Number of the newest call when this connection was last heard of.
    std::uint64_t provenAtCall() const { return provenAtCall_; }
    void prove(std::uint64_t newestCall) { provenAtCall_ = newestCall; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    using Message = boost::beast::http::request<boost::beast::http::string_body>;

    void onConnected(boost::system::error_code error);
    void onWritten(boost::system::error_code error, std::size_t bytes);
    void onAnswer(boost::system::error_code error);
    void accept(HttpResponse response, bool keep);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    HttpEndpoint endpoint_;
    HttpClientLimits limits_;
    Changed changed_;
    boost::beast::flat_buffer buffer_;
    std::optional<Message> message_;
    std::optional<Parser> parser_;
    std::shared_ptr<HttpCall> call_;
    std::uint64_t provenAtCall_ = 0;
    Phase phase_ = Phase::Connecting;
    HttpError connectFault_ = HttpError::None;
    bool isRetired_ = false;
};

}  // namespace poplarstream
