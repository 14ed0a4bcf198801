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

// Commands are repeated by their deciders, so that a longer queue would only hold repetitions.
constexpr std::size_t maxWaiting = 256;

struct Waiting
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

    // Runs `action` later, unless the channel is closed by then.
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
        boost::asio::post(io, guarded([](State &self) { self.next(); }));
    }

    // Ends the first call. The next one is started first, so that an exception of `done` does not
    // stop the channel.
    void end(HttpOutcome outcome)
    {
        const HttpCallback done = std::move(queue.front().call.done);
        queue.pop_front();
        postNext();
        done(std::move(outcome));
    }

    void next()
    {
        if (isBusy || queue.empty()) {
            return;
        }
        Waiting &first = queue.front();
        if (Clock::now() >= first.deadline) {
            end({HttpDelivery::NotSent, HttpFault::DeadlinePassed, {}});
            return;
        }
        watch(first.deadline);
        if (!link) {
            connect();
        } else if (isConnected) {
            sendFirst();
        }
    }

    void sendFirst()
    {
        Waiting &first = queue.front();
        if (!first.call.maySend()) {
            end({HttpDelivery::NotSent, HttpFault::Cancelled, {}});
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
                                   self.next();
                               }),
                               guarded([](State &self) { self.onLost(); })});
    }

    void drop()
    {
        link.reset();
        isConnected = false;
        isBusy = false;
    }

    void onLost()
    {
        const bool hasConnected = isConnected;
        drop();
        if (!hasConnected && !queue.empty()) {
            end({HttpDelivery::NotSent, HttpFault::Refused, {}});
        } else {
            postNext();
        }
    }

    void onOutcome(HttpOutcome outcome)
    {
        isBusy = false;
        if (outcome.delivery != HttpDelivery::Answered) {
            drop();
        }
        // The worker closed the idle connection; a new one can still carry the call.
        Waiting &first = queue.front();
        if (outcome.delivery == HttpDelivery::NotSent && !first.isRetried) {
            first.isRetried = true;
            postNext();
            return;
        }
        end(std::move(outcome));
    }

    // Closing the connection drops a late answer, which could otherwise be taken for that of the
    // next call.
    void onDeadline()
    {
        if (queue.empty() || Clock::now() < queue.front().deadline) {
            next();
            return;
        }
        const bool wasSent = isBusy;
        drop();
        end({wasSent ? HttpDelivery::MayHaveBeenSent : HttpDelivery::NotSent,
             HttpFault::DeadlinePassed,
             {}});
    }

    void watch(Clock::time_point until)
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
    std::deque<Waiting> queue;
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
    if (state_->queue.size() >= maxWaiting) {
        boost::asio::post(state_->io, [done = std::move(call.done)] {
            done({HttpDelivery::NotSent, HttpFault::Overloaded, {}});
        });
        return;
    }
    state_->queue.push_back({std::move(call), Clock::now() + state_->deadline});
    state_->postNext();
}

}  // namespace poplarstream
