#include "poplarstream/adapters/http_client.hpp"

#include <algorithm>  // for count_if, find
#include <chrono>  // for steady_clock
#include <deque>  // for deque
#include <functional>  // for hash
#include <unordered_map>  // for unordered_map
#include <vector>  // for vector

#include <boost/asio/io_context.hpp>  // for io_context
#include <boost/asio/post.hpp>  // for post

#include "poplarstream/adapters/http_call.hpp"  // for HttpCall, HttpClientConnection

namespace poplarstream {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Phase = HttpClientConnection::Phase;
using Connection = std::shared_ptr<HttpClientConnection>;
using Call = std::shared_ptr<HttpCall>;

// How long a response shows that its connection works.
constexpr Milliseconds confirmationLifetime{500};
// For reading a response that has arrived by the deadline.
constexpr Milliseconds readExtension{200};

struct Pool
{
    std::vector<Connection> connections;  // the most recently used idle one is last
    std::deque<Call> waiting;

    std::size_t count(Phase phase) const
    {
        return static_cast<std::size_t>(
                std::count_if(connections.begin(), connections.end(),
                              [phase](const Connection &c) { return c->phase() == phase; }));
    }
};

struct EndpointHash
{
    std::size_t operator()(const HttpEndpoint &endpoint) const
    {
        return std::hash<std::string>{}(endpoint.address) ^ endpoint.port;
    }
};

bool isWritable(const HttpRequest &request)
{
    const auto isVisible = [](char c) { return c > 0x20 && c < 0x7f; };
    return !request.target.empty() && !request.method.empty()
           && std::all_of(request.target.begin(), request.target.end(), isVisible)
           && std::all_of(request.method.begin(), request.method.end(), isVisible)
           && std::all_of(request.headers.begin(), request.headers.end(), isWritableHeader);
}

}  // namespace

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State>
{
    State(asio::io_context &context, const HttpClientLimits &bounds)
        : io(context)
        , limits(bounds)
    {}

    Call makeCall(const HttpEndpoint &endpoint, HttpRequest request, HttpCallOptions options,
                  HttpCallback callback)
    {
        auto call = std::make_shared<HttpCall>(io, std::move(request), std::move(options),
                                               std::move(callback));
        call->number = ++lastCall;
        call->endpoint = endpoint;
        call->writeBefore = limits.clock() + call->options.deadline;
        calls[call->number] = call;
        waitForDeadline(call, call->options.deadline);
        return call;
    }

    void waitForDeadline(const Call &call, Milliseconds remaining)
    {
        call->deadline.expires_after(remaining);
        call->deadline.async_wait([weak = weak_from_this(), call](error_code error) {
            const auto self = weak.lock();
            if (!error && self && !call->isDone) {
                self->onDeadline(call);
            }
        });
    }

    // When the event loop is late, timers run before responses that have arrived are read. Without
    // the extra time, each of them would count as missing and cost a new connection.
    void onDeadline(const Call &call)
    {
        const Connection connection = call->connection.lock();
        if (connection && !call->isExtended && connection->hasUnreadInput()) {
            call->isExtended = true;
            waitForDeadline(call, readExtension);
        } else {
            end(call, HttpError::DeadlinePassed);
        }
    }

    // Ends a call without a response: closes its connection or removes it from the queue.
    void end(const Call &call, HttpError error)
    {
        calls.erase(call->number);
        if (const Connection connection = call->connection.lock()) {
            if (error == HttpError::DeadlinePassed) {
                ++counts.unresponsiveConnections;
                closeUnconfirmed(*call);
            }
            connection->close(error);
            return;
        }
        auto &waiting = pools[call->endpoint].waiting;
        waiting.erase(std::remove(waiting.begin(), waiting.end(), call), waiting.end());
        call->finish({HttpDelivery::NotSent, error, {}});
    }

    // When one connection times out, the others to the same endpoint may be dead as well. Closes
    // the idle ones that have neither connected nor responded since the call was made, or not
    // lately; trying them in turn would cost one deadline each.
    void closeUnconfirmed(const HttpCall &call)
    {
        const auto connections = pools[call.endpoint].connections;
        for (const Connection &connection : connections) {
            const bool isConfirmed = connection->confirmedAtCall() >= call.number
                                     && connection->confirmedAt() + confirmationLifetime
                                                >= std::chrono::steady_clock::now();
            if (connection->phase() == Phase::Idle && !isConfirmed) {
                ++counts.staleConnections;
                drop(*connection);
                connection->close(HttpError::None);
            }
        }
    }

    void reject(const Call &call, HttpError error)
    {
        asio::post(io, [self = weak_from_this(), call, error] {
            if (const auto state = self.lock(); state && !call->isDone) {
                state->end(call, error);
            }
        });
    }

    void enqueue(const Call &call)
    {
        Pool &pool = pools[call->endpoint];
        if (!isWritable(call->request)) {
            reject(call, HttpError::BadRequest);
        } else if (pool.waiting.size() >= limits.waitingPerEndpoint) {
            reject(call, HttpError::Overloaded);
        } else {
            pool.waiting.push_back(call);
            pump(call->endpoint);
        }
    }

    // Timers run late after a pause, so the deadline is checked here as well.
    HttpError reasonToWithhold(const HttpCall &call) const
    {
        if (limits.clock() > call.writeBefore) {
            return HttpError::DeadlinePassed;
        }
        return call.options.mayWrite && !call.options.mayWrite() ? HttpError::Withheld
                                                                 : HttpError::None;
    }

    // Assigns waiting calls to idle connections and opens connections for the rest.
    void pump(const HttpEndpoint &endpoint)
    {
        Pool &pool = pools[endpoint];
        while (!pool.waiting.empty()) {
            const Connection idle = reusableIdleConnection(endpoint);
            if (!idle) {
                break;
            }
            const Call call = pool.waiting.front();
            pool.waiting.pop_front();
            if (const HttpError reason = reasonToWithhold(*call); reason != HttpError::None) {
                ++counts.withheldRequests;
                reject(call, reason);
            } else {
                idle->startCall(call, Phase::Busy);
            }
        }
        while (pool.count(Phase::Connecting) < pool.waiting.size()
               && pool.connections.size() < limits.connectionsPerEndpoint) {
            open(endpoint);
        }
    }

    // The most recently used idle connection. Closes those that the peer has closed, since a
    // request written to one of them would count as possibly received.
    Connection reusableIdleConnection(const HttpEndpoint &endpoint)
    {
        Pool &pool = pools[endpoint];
        for (std::size_t i = pool.connections.size(); i-- > 0;) {
            Connection connection = pool.connections[i];
            if (connection->phase() != Phase::Idle) {
                continue;
            }
            if (connection->isReusable()) {
                return connection;
            }
            ++counts.staleConnections;
            drop(*connection);
            connection->close(HttpError::None);
        }
        return nullptr;
    }

    void open(const HttpEndpoint &endpoint)
    {
        ++counts.connects;
        auto connection = std::make_shared<HttpClientConnection>(
                io, endpoint, limits, [weak = weak_from_this()](HttpClientConnection &changed) {
                    if (const auto self = weak.lock()) {
                        self->onChanged(changed);
                    }
                });
        pools[endpoint].connections.push_back(connection);
        connection->connect();
    }

    // Removes a connection from its pool. Returns whether it was there.
    bool drop(const HttpClientConnection &connection)
    {
        auto &connections = pools[connection.endpoint()].connections;
        const auto found =
                std::find_if(connections.begin(), connections.end(),
                             [&](const Connection &c) { return c.get() == &connection; });
        if (found == connections.end()) {
            return false;
        }
        connections.erase(found);
        return true;
    }

    void onChanged(HttpClientConnection &connection)
    {
        const HttpEndpoint &endpoint = connection.endpoint();
        if (connection.phase() == Phase::Idle) {
            connection.confirmAlive(lastCall);
        }
        if (connection.phase() == Phase::Closed && !drop(connection)) {
            return;  // already dropped by the code that closed it
        }
        if (connection.connectError() != HttpError::None) {
            onConnectError(endpoint, connection.connectError());
        }
        pump(endpoint);
    }

    // A failed connect ends one waiting call, so that the caller can choose another endpoint now
    // rather than at the deadline.
    void onConnectError(const HttpEndpoint &endpoint, HttpError error)
    {
        ++counts.connectErrors;
        auto &waiting = pools[endpoint].waiting;
        if (!waiting.empty()) {
            end(Call(waiting.front()), error);
        }
    }

    // Wraps a callback so that the call is removed from `calls` when it ends.
    HttpCallback removingCall(std::uint64_t number, HttpCallback callback)
    {
        return [weak = weak_from_this(), number,
                callback = std::move(callback)](HttpOutcome outcome) {
            if (const auto self = weak.lock()) {
                self->calls.erase(number);
                self->counts.invalidResponses +=
                        outcome.error == HttpError::InvalidResponse ? 1 : 0;
                callback(std::move(outcome));
            }
        };
    }

    // Closes everything without running callbacks.
    void closeAll()
    {
        for (const auto &[number, call] : calls) {
            call->isDone = true;
            call->deadline.cancel();
        }
        for (auto &[endpoint, pool] : pools) {
            for (const Connection &connection : std::exchange(pool.connections, {})) {
                connection->close(HttpError::Cancelled);
            }
        }
    }

    asio::io_context &io;
    HttpClientLimits limits;
    std::unordered_map<HttpEndpoint, Pool, EndpointHash> pools;
    std::unordered_map<std::uint64_t, Call> calls;
    std::uint64_t lastCall = 0;
    HttpClientCounts counts;
};

HttpClient::HttpClient(asio::io_context &io, const HttpClientLimits &limits)
    : state_(std::make_shared<State>(io, limits))
{}

HttpClient::~HttpClient()
{
    state_->closeAll();
}

std::uint64_t HttpClient::send(const HttpEndpoint &endpoint, HttpRequest request,
                               const HttpCallOptions &options, HttpCallback callback)
{
    const std::uint64_t number = state_->lastCall + 1;
    const Call call = state_->makeCall(endpoint, std::move(request), options,
                                       state_->removingCall(number, std::move(callback)));
    state_->enqueue(call);
    return number;
}

void HttpClient::cancel(std::uint64_t call)
{
    const auto found = state_->calls.find(call);
    if (found != state_->calls.end()) {
        state_->end(Call(found->second), HttpError::Cancelled);
    }
}

void HttpClient::probeIdle(Milliseconds deadline, const HttpProbeCallback &callback)
{
    for (const auto &[endpoint, pool] : state_->pools) {
        const auto connections = pool.connections;
        for (const Connection &connection : connections) {
            if (connection->phase() != Phase::Idle) {
                continue;
            }
            if (!connection->isReusable()) {
                ++state_->counts.staleConnections;
                connection->close(HttpError::None);
                continue;
            }
            const auto report = [endpoint = endpoint, callback](const HttpOutcome &outcome) {
                callback(endpoint, outcome.delivery == HttpDelivery::Answered
                                           && outcome.response.status < 500);
            };
            const Call call =
                    state_->makeCall(endpoint, {"GET", "/health", {}, {}, {}}, {deadline, {}},
                                     state_->removingCall(state_->lastCall + 1, report));
            connection->startCall(call, Phase::Probing);
        }
    }
}

void HttpClient::retire(const HttpEndpoint &endpoint)
{
    const auto connections = state_->pools[endpoint].connections;
    for (const Connection &connection : connections) {
        if (connection->phase() == Phase::Idle) {
            connection->close(HttpError::None);
        } else {
            connection->retire();
        }
    }
}

HttpClientCounts HttpClient::counts() const
{
    return state_->counts;
}

HttpPoolSize HttpClient::poolSize(const HttpEndpoint &endpoint) const
{
    const auto found = state_->pools.find(endpoint);
    if (found == state_->pools.end()) {
        return {};
    }
    const Pool &pool = found->second;
    return {pool.connections.size(), pool.count(Phase::Connecting), pool.count(Phase::Idle),
            pool.waiting.size()};
}

Verdict verdictOf(HttpDelivery delivery)
{
    switch (delivery) {
    case HttpDelivery::NotSent:
        return Verdict::NotRun;
    case HttpDelivery::MayHaveBeenSent:
        return Verdict::MayHaveRun;
    case HttpDelivery::Answered:
        break;
    }
    return Verdict::Ran;
}

std::string_view httpErrorText(HttpError error)
{
    switch (error) {
    case HttpError::None:
        break;
    case HttpError::Refused:
        return "connection refused";
    case HttpError::ConnectTimeout:
        return "no connection in time";
    case HttpError::Unreachable:
        return "endpoint unreachable";
    case HttpError::Overloaded:
        return "too many requests wait for a connection";
    case HttpError::DeadlinePassed:
        return "no answer in time";
    case HttpError::ConnectionLost:
        return "connection lost";
    case HttpError::Withheld:
        return "no longer permitted";
    case HttpError::InvalidResponse:
        return "invalid answer";
    case HttpError::BadRequest:
        return "the request cannot be written";
    case HttpError::Cancelled:
        return "cancelled";
    }
    return "none";
}

}  // namespace poplarstream
