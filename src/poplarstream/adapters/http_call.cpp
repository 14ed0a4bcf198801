#include "poplarstream/adapters/http_call.hpp"

#include <array>  // for array

#include <boost/asio/buffer.hpp>  // for buffer
#include <boost/asio/post.hpp>  // for post
#include <boost/beast/http/read.hpp>  // for async_read
#include <boost/beast/http/write.hpp>  // for async_write

namespace poplarstream {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

http::request<http::string_body> messageFrom(HttpRequest &&request, const HttpEndpoint &endpoint)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, endpointText(endpoint));
    for (const HttpHeader &header : request.headers) {
        message.insert(header.name, header.value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

HttpResponse responseFrom(http::response<http::string_body> &&message)
{
    HttpResponse response;
    response.status = message.result_int();
    for (const auto &field : message) {
        response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    response.body = std::move(message.body());
    return response;
}

HttpError connectErrorOf(error_code error)
{
    return error == asio::error::connection_refused ? HttpError::Refused : HttpError::Unreachable;
}

bool isHttpError(error_code error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
           && error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

void HttpCall::finish(HttpOutcome outcome)
{
    if (isDone) {
        return;
    }
    isDone = true;
    deadline.cancel();
    const HttpCallback receiver = std::move(callback);
    callback = nullptr;
    receiver(std::move(outcome));
}

HttpClientConnection::HttpClientConnection(asio::io_context &io, HttpEndpoint endpoint,
                                           const HttpClientLimits &limits, Changed changed)
    : socket_(io)
    , timer_(io)
    , endpoint_(std::move(endpoint))
    , limits_(limits)
    , changed_(std::move(changed))
{}

void HttpClientConnection::connect()
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint_.address, error);
    if (error) {
        asio::post(socket_.get_executor(),
                   [self = shared_from_this(), error] { self->onConnected(error); });
        return;
    }
    timer_.expires_after(limits_.connectTimeout);
    timer_.async_wait([weak = weak_from_this()](error_code expired) {
        const auto self = weak.lock();
        if (!expired && self && self->phase_ == Phase::Connecting) {
            self->connectError_ = HttpError::ConnectTimeout;
            self->close(HttpError::ConnectTimeout);
        }
    });
    socket_.async_connect(
            {address, endpoint_.port},
            [self = shared_from_this()](error_code result) { self->onConnected(result); });
}

void HttpClientConnection::onConnected(error_code error)
{
    if (phase_ != Phase::Connecting) {
        return;
    }
    timer_.cancel();
    if (error) {
        connectError_ = connectErrorOf(error);
        close(connectError_);
        return;
    }
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    // An abandoned request must not be delivered later, not even if this process is killed. A reset
    // discards the bytes not yet delivered, whereas an orderly close would keep sending them.
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.non_blocking(true, ignored);
    phase_ = Phase::Idle;
    changed_(*this);
}

bool HttpClientConnection::isReusable()
{
    if (buffer_.size() > 0) {
        return false;
    }
    std::array<char, 1> byte{};
    error_code error;
    socket_.receive(asio::buffer(byte), asio::ip::tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

void HttpClientConnection::startCall(std::shared_ptr<HttpCall> call, Phase phase)
{
    phase_ = phase;
    call_ = std::move(call);
    call_->connection = weak_from_this();
    message_.emplace(messageFrom(std::move(call_->request), endpoint_));
    http::async_write(socket_, *message_,
                      [self = shared_from_this()](error_code error, std::size_t bytes) {
                          self->onWritten(error, bytes);
                      });
}

void HttpClientConnection::onWritten(error_code error, std::size_t bytes)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    if (error) {
        const auto delivery = bytes == 0 ? HttpDelivery::NotSent : HttpDelivery::MayHaveBeenSent;
        const auto call = std::exchange(call_, nullptr);
        close(HttpError::ConnectionLost);
        call->finish({delivery, HttpError::ConnectionLost, {}});
        return;
    }
    parser_.emplace();
    parser_->header_limit(limits_.headerBytes);
    parser_->body_limit(limits_.bodyBytes);
    parser_->skip(message_->method() == http::verb::head);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code result, std::size_t) {
                         self->onResponse(result);
                     });
}

void HttpClientConnection::onResponse(error_code error)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    if (error) {
        close(isHttpError(error) ? HttpError::InvalidResponse : HttpError::ConnectionLost);
        return;
    }
    // A response delimited by the end of the connection looks the same as a truncated one.
    if (parser_->need_eof() || parser_->get().result_int() < 200) {
        close(HttpError::InvalidResponse);
        return;
    }
    const std::string &echo = call_->options.echoHeader;
    if (!echo.empty() && parser_->get()[echo] != (*message_)[echo]) {
        close(HttpError::InvalidResponse);
        return;
    }
    const bool keep = parser_->keep_alive() && !isRetired_;
    accept(responseFrom(parser_->release()), keep);
}

void HttpClientConnection::accept(HttpResponse response, bool keep)
{
    parser_.reset();
    message_.reset();
    const auto call = std::exchange(call_, nullptr);
    if (keep) {
        phase_ = Phase::Idle;
        changed_(*this);
    } else {
        close(HttpError::None);
    }
    call->finish({HttpDelivery::Answered, HttpError::None, std::move(response)});
}

void HttpClientConnection::close(HttpError error)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    phase_ = Phase::Closed;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    const auto self = shared_from_this();  // the owner drops its reference in changed_
    const auto call = std::exchange(call_, nullptr);
    changed_(*this);
    if (call) {
        call->finish({HttpDelivery::MayHaveBeenSent, error, {}});
    }
}

}  // namespace poplarstream
