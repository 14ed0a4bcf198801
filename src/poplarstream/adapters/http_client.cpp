#include "poplarstream/adapters/http_client.hpp"

#include <algorithm>  // for count_if, find
#include <deque>  // for deque
#include <map>  // for map
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
        calls[call->number] = call;
        call->deadline.expires_after(call->options.deadline);
        call->deadline.async_wait([weak = weak_from_this(), call](error_code error) {
            const auto self = weak.lock();
            if (!error && self && !call->isDone) {
                self->end(call, HttpError::DeadlinePassed);
            }
        });
        return call;
    }

    // Ends a call that has no answer: closes its connection, or takes it out of the queue.
    void end(const Call &call, HttpError fault)
    {
        calls.erase(call->number);
        if (const Connection connection = call->connection.lock()) {
            if (fault == HttpError::DeadlinePassed) {
                ++counts.silentConnections;
                closeUnproven(*call);
            }
            connection->close(fault);
            return;
        }
        auto &waiting = pools[call->endpoint].waiting;
        waiting.erase(std::remove(waiting.begin(), waiting.end(), call), waiting.end());
        call->finish({HttpDelivery::NotSent, fault, {}});
    }

    // What silenced one connection may have silenced the others to its peer: those that have not
    // been heard of since the call was made are not tried one after the other, a deadline each.
    void closeUnproven(const HttpCall &call)
    {
        const auto connections = pools[call.endpoint].connections;
        for (const Connection &connection : connections) {
            if (connection->phase() == Phase::Idle && connection->provenAtCall() < call.number) {
                ++counts.staleConnections;
                drop(*connection);
                connection->close(HttpError::None);
            }
        }
    }

    void reject(const Call &call, HttpError fault)
    {
        asio::post(io, [self = weak_from_this(), call, fault] {
            if (const auto state = self.lock(); state && !call->isDone) {
                state->end(call, fault);
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

    // Gives waiting calls to idle connections and opens as many connections as are missing.
    void pump(const HttpEndpoint &endpoint)
    {
        Pool &pool = pools[endpoint];
        while (!pool.waiting.empty()) {
            const Connection idle = freshIdle(endpoint);
            if (!idle) {
                break;
            }
            const Call call = pool.waiting.front();
            pool.waiting.pop_front();
            idle->carry(call, Phase::Busy);
        }
        while (pool.count(Phase::Connecting) < pool.waiting.size()
               && pool.connections.size() < limits.connectionsPerEndpoint) {
            open(endpoint);
        }
    }

    // The most recently used idle connection. Closes those that the peer has closed, since a
    // request written to one of them would look as if it may have been received.
    Connection freshIdle(const HttpEndpoint &endpoint)
    {
        Pool &pool = pools[endpoint];
        for (std::size_t i = pool.connections.size(); i-- > 0;) {
            Connection connection = pool.connections[i];
            if (connection->phase() != Phase::Idle) {
                continue;
            }
            if (connection->isFresh()) {
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

    // Takes a connection out of its pool. Returns whether it was there.
    bool drop(const HttpClientConnection &connection)
    {
        auto &connections = pools[connection.endpoint()].connections;
        const auto place =
                std::find_if(connections.begin(), connections.end(),
                             [&](const Connection &c) { return c.get() == &connection; });
        if (place == connections.end()) {
            return false;
        }
        connections.erase(place);
        return true;
    }

    void onChanged(HttpClientConnection &connection)
    {
        const HttpEndpoint &endpoint = connection.endpoint();
        if (connection.phase() == Phase::Idle) {
            connection.prove(lastCall);
        }
        if (connection.phase() == Phase::Closed && !drop(connection)) {
            return;  // closed by freshIdle, within pump
        }
        if (connection.connectFault() != HttpError::None) {
            onConnectFault(endpoint, connection.connectFault());
        }
        pump(endpoint);
    }

    // A failed connect ends one waiting call, so that its sender can choose another endpoint now
    // instead of at the deadline.
    void onConnectFault(const HttpEndpoint &endpoint, HttpError fault)
    {
        ++counts.connectFaults;
        auto &waiting = pools[endpoint].waiting;
        if (!waiting.empty()) {
            end(Call(waiting.front()), fault);
        }
    }

    // Wraps a callback so that the call is forgotten when it ends.
    HttpCallback forgetting(std::uint64_t number, HttpCallback callback)
    {
        return [weak = weak_from_this(), number,
                callback = std::move(callback)](HttpOutcome outcome) {
            if (const auto self = weak.lock()) {
                self->calls.erase(number);
                self->counts.badAnswers += outcome.error == HttpError::BadAnswer ? 1 : 0;
                callback(std::move(outcome));
            }
        };
    }

    // Closes everything without calling back.
    void abandon()
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
    std::map<HttpEndpoint, Pool> pools;
    std::map<std::uint64_t, Call> calls;
    std::uint64_t lastCall = 0;
    HttpClientCounts counts;
};

HttpClient::HttpClient(asio::io_context &io, const HttpClientLimits &limits)
    : state_(std::make_shared<State>(io, limits))
{}

HttpClient::~HttpClient()
{
    state_->abandon();
}

std::uint64_t HttpClient::send(const HttpEndpoint &endpoint, HttpRequest request,
                               const HttpCallOptions &options, HttpCallback callback)
{
    const std::uint64_t number = state_->lastCall + 1;
    const Call call = state_->makeCall(endpoint, std::move(request), options,
                                       state_->forgetting(number, std::move(callback)));
    state_->enqueue(call);
    return number;
}

void HttpClient::cancel(std::uint64_t call)
{
    const auto place = state_->calls.find(call);
    if (place != state_->calls.end()) {
        state_->end(Call(place->second), HttpError::Cancelled);
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
            if (!connection->isFresh()) {
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
                                     state_->forgetting(state_->lastCall + 1, report));
            connection->carry(call, Phase::Probing);
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
    const auto place = state_->pools.find(endpoint);
    if (place == state_->pools.end()) {
        return {};
    }
    const Pool &pool = place->second;
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

std::string_view httpErrorText(HttpError fault)
{
    switch (fault) {
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
    case HttpError::BadAnswer:
        return "invalid answer";
    case HttpError::BadRequest:
        return "the request cannot be written";
    case HttpError::Cancelled:
        return "cancelled";
    }
    return "none";
}

}  // namespace poplarstream
