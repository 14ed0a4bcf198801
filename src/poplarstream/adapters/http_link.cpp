#include "poplarstream/adapters/http_link.hpp"

#include <boost/asio/io_context.hpp>  // for io_context
#include <boost/asio/post.hpp>  // for post

#include "poplarstream/adapters/http_call.hpp"  // for HttpCall, HttpClientConnection

namespace poplarstream {

using Phase = HttpClientConnection::Phase;

struct HttpLink::State : std::enable_shared_from_this<HttpLink::State>
{
    State(boost::asio::io_context &context, HttpLinkEvents linkEvents)
        : io(context)
        , events(std::move(linkEvents))
    {}

    // Posts an event, so that it is not delivered from within the code that caused it.
    void later(std::function<void()> HttpLinkEvents::*event)
    {
        boost::asio::post(io, [self = shared_from_this(), event] {
            if (!self->isClosed) {
                (self->events.*event)();
            }
        });
    }

    void onChanged(const HttpClientConnection &changed)
    {
        if (changed.phase() == Phase::Idle && !isConnected) {
            isConnected = true;
            later(&HttpLinkEvents::connected);
        } else if (changed.phase() == Phase::Closed && !isBusy) {
            later(&HttpLinkEvents::lost);
        }
    }

    void onOutcome(HttpOutcome outcome, const HttpCallback &callback)
    {
        isBusy = false;
        if (isClosed) {
            return;
        }
        const bool isClosedByResponse =
                outcome.delivery == HttpDelivery::Answered && connection->phase() == Phase::Closed;
        callback(std::move(outcome));
        if (isClosedByResponse) {
            later(&HttpLinkEvents::lost);
        }
    }

    boost::asio::io_context &io;
    HttpLinkEvents events;
    std::shared_ptr<HttpClientConnection> connection;
    bool isConnected = false;
    bool isBusy = false;
    bool isClosed = false;
};

HttpLink::HttpLink(boost::asio::io_context &io, const HttpEndpoint &endpoint,
                   const HttpClientLimits &limits, HttpLinkEvents events)
    : state_(std::make_shared<State>(io, std::move(events)))
{
    state_->connection = std::make_shared<HttpClientConnection>(
            io, endpoint, limits,
            [weak = std::weak_ptr<State>(state_)](HttpClientConnection &changed) {
                if (const auto state = weak.lock()) {
                    state->onChanged(changed);
                }
            });
    state_->connection->connect();
}

HttpLink::~HttpLink()
{
    close();
}

void HttpLink::send(HttpRequest request, HttpCallback callback)
{
    state_->isBusy = true;
    if (state_->connection->phase() != Phase::Idle || !state_->connection->isReusable()) {
        boost::asio::post(state_->io, [state = state_, callback = std::move(callback)] {
            state->onOutcome({HttpDelivery::NotSent, HttpError::ConnectionLost, {}}, callback);
        });
        return;
    }
    auto call = std::make_shared<HttpCall>(
            state_->io, std::move(request), HttpCallOptions{},
            [state = state_, callback = std::move(callback)](HttpOutcome outcome) {
                state->onOutcome(std::move(outcome), callback);
            });
    state_->connection->startCall(std::move(call), Phase::Busy);
}

void HttpLink::close()
{
    state_->isClosed = true;
    state_->connection->close(HttpError::Cancelled);
}

}  // namespace poplarstream
