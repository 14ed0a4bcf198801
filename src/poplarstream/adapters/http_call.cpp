#include "poplarstream/adapters/http_call.hpp"

#include <algorithm>  // for min
#include <array>  // for array
#include <string>  // for string
#include <string_view>  // for string_view

#include <boost/asio/buffer.hpp>  // for buffer
#include <boost/asio/post.hpp>  // for post
#include <boost/asio/write.hpp>  // for async_write

namespace poplarstream {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::string_view headMethod = "HEAD";
// Most responses fit into the first read; further reads double in size.
constexpr std::size_t firstReadBytes = 2 * 1024;
constexpr std::size_t maxReadBytes = 64 * 1024;
// An idle connection keeps a buffer up to this size.
constexpr std::size_t maxIdleBufferBytes = 8 * 1024;

std::string requestText(const HttpRequest &request, const HttpEndpoint &endpoint)
{
    std::string text;
    text.reserve(request.target.size() + request.body.size() + 256);
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
    text.append(endpointText(endpoint)).append("\r\n");
    for (const HttpHeader &header : request.headers) {
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    const bool mayHaveBody = request.method != "GET" && request.method != headMethod;
    if (mayHaveBody || !request.body.empty()) {
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    return text.append("\r\n").append(request.body);
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
    , readBytes_(firstReadBytes)
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
    read();
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

bool HttpClientConnection::hasUnreadInput() const
{
    error_code error;
    const std::size_t bytes = socket_.available(error);
    return !error && bytes > 0;
}

void HttpClientConnection::startCall(std::shared_ptr<HttpCall> call, Phase phase)
{
    phase_ = phase;
    call_ = std::move(call);
    call_->connection = weak_from_this();
    parser_.emplace();
    parser_->header_limit(limits_.headerBytes);
    parser_->body_limit(limits_.bodyBytes);
    parser_->skip(call_->request.method == headMethod);
    parser_->eager(true);
    request_ = requestText(call_->request, endpoint_);
    isWriting_ = true;
    asio::async_write(socket_, asio::buffer(request_),
                      [self = shared_from_this()](error_code error, std::size_t bytes) {
                          self->onWritten(error, bytes);
                      });
}

void HttpClientConnection::onWritten(error_code error, std::size_t bytes)
{
    isWriting_ = false;
    if (phase_ == Phase::Closed || !error) {
        return;
    }
    const auto delivery = bytes == 0 ? HttpDelivery::NotSent : HttpDelivery::MayHaveBeenSent;
    const auto call = std::exchange(call_, nullptr);
    close(HttpError::ConnectionLost);
    if (call) {
        call->finish({delivery, HttpError::ConnectionLost, {}});
    }
}

// A read is always pending, so that it also notices when the peer closes an idle connection.
void HttpClientConnection::read()
{
    socket_.async_read_some(buffer_.prepare(readBytes_),
                            [self = shared_from_this()](error_code error, std::size_t bytes) {
                                self->onRead(error, bytes);
                            });
}

void HttpClientConnection::onRead(error_code error, std::size_t bytes)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    buffer_.commit(bytes);
    if (!call_) {
        close(HttpError::None);
        return;
    }
    if (error == asio::error::eof && parser_->got_some()) {
        error = {};
        parser_->put_eof(error);
    }
    if (error) {
        onResponse(error);
        return;
    }
    readBytes_ = bytes == readBytes_ ? std::min(readBytes_ * 2, maxReadBytes) : readBytes_;
    parse(error);
    if (error || parser_->is_done()) {
        onResponse(error);
    }
    if (phase_ != Phase::Closed) {
        read();
    }
}

void HttpClientConnection::parse(error_code &error)
{
    while (!error && buffer_.size() > 0 && !parser_->is_done()) {
        buffer_.consume(parser_->put(buffer_.data(), error));
    }
    if (error == http::error::need_more) {
        error = {};
    }
}

void HttpClientConnection::onResponse(error_code error)
{
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
    if (!echo.empty()
        && parser_->get()[echo] != headerValue(call_->request.headers, echo).value_or("")) {
        close(HttpError::InvalidResponse);
        return;
    }
    const bool keep = parser_->keep_alive() && !isRetired_ && !isWriting_;
    accept(responseFrom(parser_->release()), keep);
}

void HttpClientConnection::accept(HttpResponse response, bool keep)
{
    parser_.reset();
    readBytes_ = firstReadBytes;
    if (buffer_.size() == 0 && buffer_.capacity() > maxIdleBufferBytes) {
        buffer_.shrink_to_fit();
    }
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
