#include "poplarstream/adapters/http_connection.hpp"

#include <array>  // for array

#include <boost/asio/buffer.hpp>  // for buffer
#include <boost/asio/write.hpp>  // for async_write
#include <boost/beast/http/read.hpp>  // for async_read, async_read_header
#include <boost/beast/http/write.hpp>  // for async_write
#include <nlohmann/json.hpp>  // for json

namespace poplarstream {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Limit of the input that is discarded before closing. Closing a socket with unread input sends a
// reset, which can destroy a response that the peer has not read yet.
constexpr std::size_t maxDiscardedBytes = 1024 * 1024;
constexpr Milliseconds drainTimeout{1000};

constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

// Shared by all copies of a respond function. Sends status 500 if none of them was called.
class ResponseSlot
{
public:
    ResponseSlot(std::weak_ptr<HttpConnection> connection,
                 std::shared_ptr<HttpServerContext> context, std::uint64_t request)
        : connection_(std::move(connection))
        , context_(std::move(context))
        , request_(request)
    {}
    ResponseSlot(const ResponseSlot &) = delete;
    ResponseSlot &operator=(const ResponseSlot &) = delete;
    ~ResponseSlot()
    {
        if (!isAnswered_) {
            ++context_->counts.handlerErrors;
            HttpResponse response = jsonResponse(
                    500, R"({"verdict":"may-have-run","error":"no answer","field":""})");
            response.headers.push_back({"Poplar-Verdict", "may-have-run"});
            respond(std::move(response));
        }
    }

    void respond(HttpResponse response)
    {
        if (isAnswered_) {
            return;
        }
        isAnswered_ = true;
        if (const auto connection = connection_.lock()) {
            connection->respond(request_, std::move(response));
        }
    }

private:
    std::weak_ptr<HttpConnection> connection_;
    std::shared_ptr<HttpServerContext> context_;
    std::uint64_t request_;
    bool isAnswered_ = false;
};

HttpRequest requestFrom(http::request<http::string_body> &&message, const std::string &remote)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.remote = remote;
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

bool mayHaveBody(unsigned status)
{
    return status >= 200 && status != 204 && status != 304;
}

http::response<http::string_body> messageFrom(HttpResponse &&response, bool keep, bool isHead)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    for (const HttpHeader &header : response.headers) {
        if (isWritableHeader(header)) {
            message.insert(header.name, header.value);
        }
    }
    message.keep_alive(keep);
    if (mayHaveBody(response.status)) {
        message.body() = std::move(response.body);
        message.prepare_payload();
    }
    if (isHead) {
        message.body().clear();
    }
    return message;
}

unsigned statusOf(error_code error)
{
    if (error == http::error::header_limit) {
        return 431;
    }
    return error == http::error::body_limit ? 413 : 400;
}

}  // namespace

HttpConnection::HttpConnection(asio::ip::tcp::socket socket,
                               std::shared_ptr<HttpServerContext> context,
                               std::function<void(const std::shared_ptr<HttpConnection> &)> ended)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , context_(std::move(context))
    , ended_(std::move(ended))
{
    error_code error;
    const auto remote = socket_.remote_endpoint(error);
    if (!error) {
        remote_ = endpointText({remote.address().to_string(), remote.port()});
    }
    socket_.set_option(asio::ip::tcp::no_delay(true), error);
    socket_.non_blocking(true, error);
}

void HttpConnection::start()
{
    awaitRequest();
}

void HttpConnection::beginShutdown()
{
    if (phase_ == Phase::Idle) {
        startTimer(context_->limits.shutdownIdleTimeout);
    }
}

void HttpConnection::close()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    phase_ = Phase::Closed;
    stopTimer();
    error_code ignored;
    socket_.close(ignored);
    const auto ended = std::move(ended_);
    ended_ = nullptr;
    ended(shared_from_this());
}

void HttpConnection::awaitRequest()
{
    if (buffer_.size() > 0) {
        readHeader();
        return;
    }
    phase_ = Phase::Idle;
    startTimer(context_->isShuttingDown ? context_->limits.shutdownIdleTimeout
                                        : context_->limits.idleTimeout);
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](error_code error) {
                           if (error) {
                               self->close();
                           } else if (self->phase_ == Phase::Idle) {
                               self->readHeader();
                           }
                       });
}

void HttpConnection::readHeader()
{
    phase_ = Phase::Reading;
    timedOut_ = false;
    parser_.emplace();
    parser_->header_limit(context_->limits.headerBytes);
    parser_->body_limit(context_->limits.bodyBytes);
    startTimer(context_->limits.headerTimeout);
    http::async_read_header(
            socket_, buffer_, *parser_,
            [self = shared_from_this()](error_code error, std::size_t) { self->onHeader(error); });
}

void HttpConnection::onHeader(error_code error)
{
    if (error || phase_ != Phase::Reading) {
        onReadError(error);
        return;
    }
    const auto &message = parser_->get();
    if (message.version() == 11 && message.find(http::field::host) == message.end()) {
        reject(400, "missing Host header");
        return;
    }
    startTimer(context_->limits.bodyTimeout);
    if (!parser_->is_done() && message[http::field::expect] == "100-continue") {
        sendContinue();
    } else {
        readBody();
    }
}

void HttpConnection::sendContinue()
{
    asio::async_write(socket_, asio::buffer(continueLine),
                      [self = shared_from_this()](error_code error, std::size_t) {
                          if (error || self->phase_ != Phase::Reading) {
                              self->onReadError(error);
                          } else {
                              self->readBody();
                          }
                      });
}

void HttpConnection::readBody()
{
    if (parser_->is_done()) {
        onBody({});
        return;
    }
    http::async_read(
            socket_, buffer_, *parser_,
            [self = shared_from_this()](error_code error, std::size_t) { self->onBody(error); });
}

void HttpConnection::onBody(error_code error)
{
    if (error || phase_ != Phase::Reading || !parser_->is_done()) {
        onReadError(error);
        return;
    }
    stopTimer();
    dispatch();
}

void HttpConnection::dispatch()
{
    phase_ = Phase::Handling;
    ++request_;
    ++context_->counts.requests;
    keepAlive_ = parser_->keep_alive();
    isHead_ = parser_->get().method() == http::verb::head;
    HttpRequest request = requestFrom(parser_->release(), remote_);
    parser_.reset();
    auto slot = std::make_shared<ResponseSlot>(weak_from_this(), context_, request_);
    try {
        context_->handler(std::move(request),
                          [slot](HttpResponse response) { slot->respond(std::move(response)); });
    } catch (...) {
        // The slot counts the error and responds when its last copy is destroyed.
    }
}

void HttpConnection::onReadError(error_code error)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    if (timedOut_) {
        reject(408, "the request was not received in time");
    } else if (error == http::error::end_of_stream) {
        close();
    } else if (error == http::error::partial_message) {
        ++context_->counts.truncated;
        reject(400, "the request is incomplete");
    } else if (error.category() == http::make_error_code(http::error::bad_method).category()) {
        reject(statusOf(error), error.message());
    } else {
        ++context_->counts.truncated;
        close();
    }
}

void HttpConnection::reject(unsigned status, const std::string &reason)
{
    ++context_->counts.rejected;
    const nlohmann::json body{{"verdict", "not-run"}, {"error", reason}, {"field", ""}};
    HttpResponse response = jsonResponse(status, body.dump());
    response.headers.push_back({"Poplar-Verdict", "not-run"});
    isHead_ = false;
    write(std::move(response), false);
}

void HttpConnection::respond(std::uint64_t request, HttpResponse response)
{
    if (phase_ == Phase::Handling && request == request_) {
        write(std::move(response), keepAlive_);
    }
}

void HttpConnection::write(HttpResponse response, bool mayKeep)
{
    phase_ = Phase::Writing;
    // Requests that have already arrived after this one are still served during shutdown.
    const bool keep = mayKeep && (!context_->isShuttingDown || hasPendingInput());
    auto message = std::make_shared<http::response<http::string_body>>(
            messageFrom(std::move(response), keep, isHead_));
    startTimer(context_->limits.writeTimeout);
    http::async_write(socket_, *message,
                      [self = shared_from_this(), message, keep](error_code error, std::size_t) {
                          if (self->phase_ == Phase::Closed) {
                              return;
                          }
                          if (error) {
                              self->close();
                          } else if (keep) {
                              self->awaitRequest();
                          } else {
                              self->drainAndClose();
                          }
                      });
}

void HttpConnection::drainAndClose()
{
    phase_ = Phase::Draining;
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    startTimer(drainTimeout);
    discardInput();
}

void HttpConnection::discardInput()
{
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](error_code error) {
                           std::array<char, 4096> bytes{};
                           const std::size_t count =
                                   error ? 0 : self->socket_.read_some(asio::buffer(bytes), error);
                           self->discarded_ += count;
                           const bool retry = error == asio::error::would_block;
                           if ((error && !retry) || self->discarded_ > maxDiscardedBytes) {
                               self->close();
                           } else {
                               self->discardInput();
                           }
                       });
}

void HttpConnection::startTimer(Milliseconds duration)
{
    timer_.expires_after(duration);
    timer_.async_wait([weak = weak_from_this(), generation = ++timerGeneration_](error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->timerGeneration_ == generation) {
            self->onTimeout();
        }
    });
}

void HttpConnection::stopTimer()
{
    ++timerGeneration_;
    timer_.cancel();
}

void HttpConnection::onTimeout()
{
    if (phase_ == Phase::Idle && hasPendingInput()) {
        return;  // the pending wait will read it
    }
    if (phase_ != Phase::Reading) {
        context_->counts.timedOut += phase_ == Phase::Writing ? 1 : 0;
        close();
        return;
    }
    ++context_->counts.timedOut;
    timedOut_ = true;
    error_code ignored;
    socket_.cancel(ignored);
}

bool HttpConnection::hasPendingInput()
{
    error_code ignored;
    return buffer_.size() > 0 || socket_.available(ignored) > 0;
}

}  // namespace poplarstream
