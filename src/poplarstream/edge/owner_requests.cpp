#include "poplarstream/edge/owner_requests.hpp"

#include <algorithm>  // for min

#include <fmt/format.h>  // for format

#include "poplarstream/edge/closable.hpp"  // for Closable
#include "poplarstream/edge/store_circuit.hpp"  // for retryDelay
#include "poplarstream/edge/submission_retry.hpp"  // for callDeadline, callerEnd

namespace poplarstream::edge {

namespace {

// Lookups are small; what they cost while they wait is the connection of their caller.
constexpr std::size_t maxWaitingRequests = 2000;
// The store was read within this time, so it is the owner that is away and not this host.
constexpr Milliseconds connectedPeriod{2000};

bool isAnswer(const PeerResponse &response)
{
    return response.kind != PeerResponse::Kind::NotOwner
           && response.kind != PeerResponse::Kind::NoResponse;
}

}  // namespace

struct OwnerRequests::State : Closable<OwnerRequests::State>
{
    struct Asked
    {
        PeerRequest request;
        TimePoint receivedAt{};
        TimePoint endsAt{};
        int failures = 0;
        std::function<void(PeerResponse)> done;
    };

    State(Runtime &sharedRuntime, OwnerRequestHooks given)
        : runtime(sharedRuntime)
        , hooks(std::move(given))
    {}

    TimePoint endOf(const Asked &asked) const { return std::min(asked.endsAt, processEnd); }

    // A host that reaches neither the store nor the owner leaves its callers time for another one.
    TimePoint lastTryOf(const Asked &asked, TimePoint now) const
    {
        const TimePoint end = endOf(asked) - responseMargin;
        const bool isConnected = hooks.logReadAsOf() + connectedPeriod >= now;
        return isConnected
                       ? end
                       : std::min(end, asked.receivedAt + (endOf(asked) - asked.receivedAt) / 2);
    }

    void send(const std::shared_ptr<Asked> &asked)
    {
        const Milliseconds left = endOf(*asked) - steadyNow();
        hooks.sendToOwner(asked->request, callDeadline(ownerDeadline, left),
                          this->guarded([asked](State &self, const PeerResponse &response) {
                              self.finish(asked, response);
                          }));
    }

    void finish(const std::shared_ptr<Asked> &asked, const PeerResponse &response)
    {
        if (isAnswer(response)) {
            answeredAfterRetry += asked->failures > 0 ? 1 : 0;
            asked->done(response);
            return;
        }
        ++asked->failures;
        const TimePoint now = steadyNow();
        const Milliseconds delay = retryDelay(asked->failures, asked->request.job.text());
        if (waiting >= maxWaitingRequests || now + delay >= lastTryOf(*asked, now)) {
            asked->done(response);
            return;
        }
        ++waiting;
        callAfter(runtime, delay, this->guarded([asked](State &self) {
            --self.waiting;
            self.send(asked);
        }));
    }

    Runtime &runtime;
    OwnerRequestHooks hooks;
    std::size_t waiting = 0;
    std::uint64_t answeredAfterRetry = 0;
    TimePoint processEnd = TimePoint::max();  // callers are answered before
};

OwnerRequests::OwnerRequests(Runtime &runtime, OwnerRequestHooks hooks)
    : state_(std::make_shared<State>(runtime, std::move(hooks)))
{}

OwnerRequests::~OwnerRequests()
{
    state_->isClosed = true;
}

void OwnerRequests::ask(const PeerRequest &request, Milliseconds remaining,
                        std::function<void(PeerResponse)> done)
{
    const auto asked = std::make_shared<State::Asked>();
    asked->request = request;
    asked->receivedAt = steadyNow();
    asked->endsAt = callerEnd(asked->receivedAt, remaining);
    asked->done = std::move(done);
    state_->send(asked);
}

void OwnerRequests::endBy(TimePoint end)
{
    state_->processEnd = end;
}

std::string OwnerRequests::metrics() const
{
    return fmt::format("poplar_lookups_waiting {}\npoplar_lookups_answered_after_retry_total {}\n",
                       state_->waiting, state_->answeredAfterRetry);
}

}  // namespace poplarstream::edge
