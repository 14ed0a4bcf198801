#include "worker_channel.hpp"

#include <chrono>  // for steady_clock
#include <deque>  // for deque
#include <optional>  // for optional

#include <boost/asio/io_context.hpp>  // for io_context
#include <boost/asio/post.hpp>  // for post
#include <boost/asio/steady_timer.hpp>  // for steady_timer

#include "poplarstream/adapters/http_link.hpp"  // for HttpLink

namespace poplarstream {

namespace {

using Clock = std::chrono::steady_clock;

// The deciders repeat their commands, so a longer queue would only hold duplicates.
constexpr std::size_t maxQueuedCalls = 256;

struct QueuedCall
{
    ChannelCall call;
    Clock::time_point deadline;
    bool isRetried = false;
};

}  // namespace

struct WorkerChannel::State : std::enable_shared_from_this<WorkerChannel::State>
{
    State(boost::asio::io_context &context, HttpEndpoint target, Milliseconds callDeadline)
        : io(context)
        , timer(context)
        , endpoint(std::move(target))
        , deadline(callDeadline)
    {}

    // Wraps `action` so that it does nothing once the channel is closed.
    template <class Action>
    auto guarded(Action action)
    {
        return [weak = weak_from_this(), action](auto &&...arguments) {
            if (const auto self = weak.lock(); self && !self->isClosed) {
                action(*self, std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

    void postNext()
    {
        boost::asio::post(io, guarded([](State &self) { self.processNext(); }));
    }

    // Completes the first call. The next one is scheduled before `done` is called, so that an
    // exception in `done` does not stall the channel.
    void completeFirst(HttpOutcome outcome)
    {
        const HttpCallback done = std::move(queue.front().call.done);
        queue.pop_front();
        postNext();
        done(std::move(outcome));
    }

    void processNext()
    {
        if (isBusy || queue.empty()) {
            return;
        }
        QueuedCall &first = queue.front();
        if (Clock::now() >= first.deadline) {
            completeFirst({HttpDelivery::NotSent, HttpError::DeadlinePassed, {}});
            return;
        }
        startDeadlineTimer(first.deadline);
        if (!link) {
            connect();
        } else if (isConnected) {
            sendFirst();
        }
    }

    void sendFirst()
    {
        QueuedCall &first = queue.front();
        if (!first.call.maySend()) {
            completeFirst({HttpDelivery::NotSent, HttpError::Cancelled, {}});
            return;
        }
        isBusy = true;
        link->send(first.call.request, guarded([](State &self, HttpOutcome outcome) {
                       self.onOutcome(std::move(outcome));
                   }));
    }

    void connect()
    {
        isConnected = false;
        link = std::make_unique<HttpLink>(
                io, endpoint, HttpClientLimits{},
                HttpLinkEvents{guarded([](State &self) {
                                   self.isConnected = true;
                                   self.processNext();
                               }),
                               guarded([](State &self) { self.onLost(); })});
    }

    void disconnect()
    {
        link.reset();
        isConnected = false;
        isBusy = false;
    }

    void onLost()
    {
        const bool hasConnected = isConnected;
        disconnect();
        if (!hasConnected && !queue.empty()) {
            completeFirst({HttpDelivery::NotSent, HttpError::Refused, {}});
        } else {
            postNext();
        }
    }

    void onOutcome(HttpOutcome outcome)
    {
        isBusy = false;
        if (outcome.delivery != HttpDelivery::Answered) {
            disconnect();
        }
        // The worker closed the idle connection, so the call is retried once on a new one.
        QueuedCall &first = queue.front();
        if (outcome.delivery == HttpDelivery::NotSent && !first.isRetried) {
            first.isRetried = true;
            postNext();
            return;
        }
        completeFirst(std::move(outcome));
    }

    // Closes the connection, so that a late response cannot be mistaken for that of the next call.
    void onDeadline()
    {
        if (queue.empty() || Clock::now() < queue.front().deadline) {
            processNext();
            return;
        }
        const bool wasSent = isBusy;
        disconnect();
        completeFirst({wasSent ? HttpDelivery::MayHaveBeenSent : HttpDelivery::NotSent,
                       HttpError::DeadlinePassed,
                       {}});
    }

    void startDeadlineTimer(Clock::time_point until)
    {
        timer.expires_at(until);
        timer.async_wait(guarded([](State &self, boost::system::error_code error) {
            if (!error) {
                self.onDeadline();
            }
        }));
    }

    boost::asio::io_context &io;
    boost::asio::steady_timer timer;
    HttpEndpoint endpoint;
    Milliseconds deadline;
    std::unique_ptr<HttpLink> link;
    std::deque<QueuedCall> queue;
    bool isConnected = false;
    bool isBusy = false;
    bool isClosed = false;
};

WorkerChannel::WorkerChannel(boost::asio::io_context &io, HttpEndpoint endpoint,
                             Milliseconds deadline)
    : state_(std::make_shared<State>(io, std::move(endpoint), deadline))
{}

WorkerChannel::~WorkerChannel()
{
    state_->isClosed = true;
    state_->timer.cancel();
    state_->link.reset();
}

void WorkerChannel::call(ChannelCall call)
{
    if (state_->queue.size() >= maxQueuedCalls) {
        boost::asio::post(state_->io, [done = std::move(call.done)] {
            done({HttpDelivery::NotSent, HttpError::Overloaded, {}});
        });
        return;
    }
    state_->queue.push_back({std::move(call), Clock::now() + state_->deadline});
    state_->postNext();
}

}  // namespace poplarstream
