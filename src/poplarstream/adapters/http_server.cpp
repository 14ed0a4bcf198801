#include "poplarstream/adapters/http_server.hpp"

#include <unordered_set>  // for unordered_set

#include <boost/asio/io_context.hpp>  // for io_context
#include <boost/asio/ip/tcp.hpp>  // for tcp::acceptor
#include <boost/asio/post.hpp>  // for post
#include <boost/asio/steady_timer.hpp>  // for steady_timer

#include "poplarstream/adapters/http_connection.hpp"  // for HttpConnection

namespace poplarstream {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Avoids a busy loop when the process is out of file descriptors.
constexpr Milliseconds acceptRetryDelay{50};

constexpr std::string_view overloadResponse =
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
        "Poplar-Verdict: not-run\r\nContent-Length: 0\r\n\r\n";

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    explicit State(asio::io_context &io)
        : executor(io.get_executor())
        , acceptor(io)
        , acceptRetryTimer(io)
        , context(std::make_shared<HttpServerContext>())
    {}

    error_code open(const HttpEndpoint &endpoint)
    {
        error_code error;
        const auto address = asio::ip::make_address(endpoint.address, error);
        if (error) {
            return error;
        }
        const tcp::endpoint local(address, endpoint.port);
        try {
            acceptor.open(local.protocol());
            acceptor.set_option(asio::socket_base::reuse_address(true));
            acceptor.bind(local);
            acceptor.listen();
        } catch (const boost::system::system_error &failure) {
            return failure.code();
        }
        port = acceptor.local_endpoint(error).port();
        return error;
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (!self->acceptor.is_open()) {
                return;
            }
            if (error) {
                self->acceptLater();
                return;
            }
            self->admit(std::move(socket));
            self->accept();
        });
    }

    void acceptLater()
    {
        acceptRetryTimer.expires_after(acceptRetryDelay);
        acceptRetryTimer.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->acceptor.is_open()) {
                self->accept();
            }
        });
    }

    void admit(tcp::socket socket)
    {
        ++context->counts.accepted;
        if (connections.size() >= context->limits.connections) {
            ++context->counts.refusedConnections;
            error_code ignored;
            socket.non_blocking(true, ignored);
            socket.write_some(asio::buffer(overloadResponse), ignored);
            return;
        }
        auto connection = std::make_shared<HttpConnection>(
                std::move(socket), context,
                [weak = weak_from_this()](const std::shared_ptr<HttpConnection> &ended) {
                    if (const auto self = weak.lock()) {
                        self->remove(ended);
                    }
                });
        connections.insert(connection);
        connection->start();
    }

    void remove(const std::shared_ptr<HttpConnection> &connection)
    {
        connections.erase(connection);
        reportIfDrained();
    }

    void reportIfDrained()
    {
        if (drained && connections.empty()) {
            asio::post(executor, std::exchange(drained, nullptr));
        }
    }

    void stopAccepting()
    {
        error_code ignored;
        acceptor.close(ignored);
        acceptRetryTimer.cancel();
    }

    void closeAll()
    {
        stopAccepting();
        drained = nullptr;
        for (const auto &connection : std::exchange(connections, {})) {
            connection->close();
        }
    }

    asio::io_context::executor_type executor;
    tcp::acceptor acceptor;
    asio::steady_timer acceptRetryTimer;
    std::shared_ptr<HttpServerContext> context;
    std::unordered_set<std::shared_ptr<HttpConnection>> connections;
    std::function<void()> drained;
    std::uint16_t port = 0;
};

Result<HttpServer> HttpServer::listen(asio::io_context &io, const HttpEndpoint &endpoint,
                                      HttpHandler handler, const HttpServerLimits &limits)
{
    auto state = std::make_shared<State>(io);
    state->context->limits = limits;
    state->context->handler = std::move(handler);
    if (const error_code error = state->open(endpoint)) {
        return Failure{"cannot listen on " + endpointText(endpoint) + ": " + error.message(), ""};
    }
    state->accept();
    return HttpServer(std::move(state));
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : state_(std::move(state))
{}

HttpServer &HttpServer::operator=(HttpServer &&other) noexcept
{
    std::swap(state_, other.state_);
    return *this;
}

HttpServer::~HttpServer()
{
    if (state_) {
        state_->closeAll();
    }
}

std::uint16_t HttpServer::port() const
{
    return state_->port;
}

HttpServerCounts HttpServer::counts() const
{
    return state_->context->counts;
}

std::size_t HttpServer::connectionCount() const
{
    return state_->connections.size();
}

void HttpServer::shutdown(std::function<void()> drained)
{
    state_->stopAccepting();
    state_->context->isShuttingDown = true;
    state_->drained = std::move(drained);
    const auto connections = state_->connections;
    for (const auto &connection : connections) {
        connection->beginShutdown();
    }
    state_->reportIfDrained();
}

}  // namespace poplarstream
