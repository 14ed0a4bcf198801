#include "poplarstream/adapters/peer_transport.hpp"

#include <atomic>  // for atomic
#include <condition_variable>  // for condition_variable
#include <vector>  // for vector

#include <nlohmann/json.hpp>  // for json
#include <nng/nng.h>  // for nng_aio, nng_ctx

// The protocol headers require nng.h first.
#include <nng/protocol/pipeline0/pull.h>  // for nng_pull0_open
#include <nng/protocol/pipeline0/push.h>  // for nng_push0_open
#include <nng/protocol/reqrep0/rep.h>  // for nng_rep0_open
#include <nng/protocol/reqrep0/req.h>  // for nng_req0_open
#include <nng/supplemental/util/platform.h>  // for nng_clock

#include "poplarstream/adapters/peer_socket.hpp"  // for PeerSocket, NngMessage

namespace poplarstream {

namespace {

struct Counters
{
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> posted{0};
    std::atomic<std::uint64_t> rejectedPosts{0};
    std::atomic<std::uint64_t> requestsSent{0};
    std::atomic<std::uint64_t> requestsFailed{0};
};

nng_aio *allocateAio(void (*callback)(void *), void *argument)
{
    nng_aio *aio = nullptr;
    if (nng_aio_alloc(&aio, callback, argument) != 0) {
        throw std::bad_alloc();
    }
    return aio;
}

// Moves the received message out of a completed operation.
NngMessage extractMessage(nng_aio *aio)
{
    NngMessage message(nng_aio_get_msg(aio));
    nng_aio_set_msg(aio, nullptr);
    return message;
}

}  // namespace

class PeerTransport::State : public std::enable_shared_from_this<PeerTransport::State>
{
public:
    State(const PeerSettings &settings, PeerHandlers handlers)
        : settings_(settings)
        , handlers_(std::move(handlers))
        , address_(settings.listen)
    {}
    State(const State &) = delete;
    State &operator=(const State &) = delete;
    ~State()
    {
        if (pullAio_ != nullptr) {
            nng_aio_free(pullAio_);
        }
        for (const auto &replyContext : replyContexts_) {
            nng_aio_free(replyContext->aio);
        }
    }

    std::optional<Failure> start()
    {
        auto pull = listenPeerSocket(nng_pull0_open, address_.oneWay, settings_.oneWayBytes);
        if (!pull) {
            return pull.failure();
        }
        auto rep = listenPeerSocket(nng_rep0_open, address_.requests, settings_.requestBytes);
        if (!rep) {
            return rep.failure();
        }
        pull_.emplace(std::move(pull).value());
        rep_.emplace(std::move(rep).value());
        pullAio_ = allocateAio([](void *self) { static_cast<State *>(self)->onPulled(); }, this);
        nng_recv_aio(pull_->handle(), pullAio_);
        for (std::size_t i = 0; i < settings_.replyContexts; ++i) {
            startReplyContext();
        }
        return std::nullopt;
    }

    // Ends all operations and waits for their callbacks.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            isClosed_ = true;
        }
        pull_->close();
        rep_->close();
        nng_aio_stop(pullAio_);
        for (const auto &replyContext : replyContexts_) {
            nng_aio_stop(replyContext->aio);
        }
        for (const auto &[key, socket] : std::exchange(peers_, {})) {
            nng_close(socket->handle());
        }
        std::unique_lock lock(mutex_);
        allRequestsDone_.wait(lock, [this] { return pendingRequests_ == 0; });
    }

    bool post(const std::string &url, const nlohmann::json &value)
    {
        const auto socket = peerSocket(Kind::OneWay, url);
        NngMessage message = encodePeerMessage(value);
        if (!socket || nng_msg_len(message.get()) > settings_.oneWayBytes
            || nng_sendmsg(socket->handle(), message.get(), NNG_FLAG_NONBLOCK) != 0) {
            ++counters.rejectedPosts;
            return false;
        }
        (void)message.release();  // owned by nng after a successful send
        ++counters.posted;
        return true;
    }

    bool sendRequest(const std::string &url, const nlohmann::json &value, Milliseconds timeout,
                     std::function<void(const nlohmann::json *)> done)
    {
        NngMessage message = encodePeerMessage(value);
        const auto socket = peerSocket(Kind::Request, url);
        auto owned = std::make_unique<PendingRequest>();
        {
            const std::lock_guard lock(mutex_);
            if (!socket || isClosed_ || pendingRequests_ >= settings_.pendingRequests
                || nng_ctx_open(&owned->context, socket->handle()) != 0) {
                return false;
            }
            ++pendingRequests_;
        }
        ++counters.requestsSent;
        owned->state = this;
        owned->socket = socket;
        owned->done = std::move(done);
        owned->deadline = nng_clock() + static_cast<nng_time>(timeout.count());
        // Owned by its operation until onRequestProgress() completes it.
        PendingRequest *pending = owned.release();
        pending->aio = allocateAio(
                [](void *self) { onRequestProgress(static_cast<PendingRequest *>(self)); },
                pending);
        nng_aio_set_timeout(pending->aio, static_cast<nng_duration>(timeout.count()));
        nng_aio_set_msg(pending->aio, message.release());
        nng_ctx_send(pending->context, pending->aio);
        return true;
    }

    enum class Kind { OneWay, Request };

    void forget(Kind kind, const std::string &url)
    {
        std::shared_ptr<PeerSocket> socket;
        {
            const std::lock_guard lock(mutex_);
            const auto found = peers_.find({kind, url});
            if (found == peers_.end()) {
                return;
            }
            socket = std::move(found->second);
            peers_.erase(found);
        }
        socket->close();  // ends the pending requests without a reply
    }

    const PeerAddress &address() const { return address_; }

    Counters counters;

private:
    struct PendingRequest
    {
        State *state = nullptr;
        std::shared_ptr<PeerSocket> socket;
        nng_ctx context = NNG_CTX_INITIALIZER;
        nng_aio *aio = nullptr;
        nng_time deadline = 0;
        bool isSent = false;
        std::function<void(const nlohmann::json *)> done;
    };

    // A context of the reply socket: receives a request, waits for the reply, sends it.
    struct ReplyContext
    {
        State *state = nullptr;
        nng_ctx context = NNG_CTX_INITIALIZER;
        nng_aio *aio = nullptr;
        bool isSending = false;
    };

    // Shared by the copies of a reply function.
    struct ReplySlot
    {
        ReplySlot(std::weak_ptr<State> owner, ReplyContext *context)
            : state(std::move(owner))
            , replyContext(context)
        {}
        ReplySlot(const ReplySlot &) = delete;
        ReplySlot &operator=(const ReplySlot &) = delete;
        ~ReplySlot() { end(nullptr); }

        void end(const nlohmann::json *reply)
        {
            const auto owner = state.lock();
            if (!isEnded.exchange(true) && owner) {
                owner->proceed(*replyContext, reply);
            }
        }

        std::weak_ptr<State> state;
        ReplyContext *replyContext;
        std::atomic<bool> isEnded{false};
    };

    void startReplyContext()
    {
        auto replyContext = std::make_unique<ReplyContext>();
        replyContext->state = this;
        if (nng_ctx_open(&replyContext->context, rep_->handle()) != 0) {
            throw std::bad_alloc();
        }
        replyContext->aio = allocateAio(
                [](void *self) {
                    auto *item = static_cast<ReplyContext *>(self);
                    item->state->onReplyContext(*item);
                },
                replyContext.get());
        nng_ctx_recv(replyContext->context, replyContext->aio);
        replyContexts_.push_back(std::move(replyContext));
    }

    void onPulled()
    {
        if (nng_aio_result(pullAio_) == 0) {
            handle(extractMessage(pullAio_), handlers_.message);
        }
        if (!isClosed_) {
            nng_recv_aio(pull_->handle(), pullAio_);
        }
    }

    void onReplyContext(ReplyContext &replyContext)
    {
        const bool isFailed = nng_aio_result(replyContext.aio) != 0;
        if (replyContext.isSending) {
            replyContext.isSending = false;
            if (isFailed) {
                nng_msg_free(nng_aio_get_msg(replyContext.aio));
                nng_aio_set_msg(replyContext.aio, nullptr);
            }
        } else if (!isFailed) {
            const auto slot = std::make_shared<ReplySlot>(weak_from_this(), &replyContext);
            handle(extractMessage(replyContext.aio), [&](const nlohmann::json &value) {
                handlers_.request(value,
                                  [slot](const nlohmann::json &reply) { slot->end(&reply); });
            });
            return;  // the slot calls proceed() when it ends
        }
        proceed(replyContext, nullptr);
    }

    // Sends the reply, or receives the next request if there is none.
    void proceed(ReplyContext &replyContext, const nlohmann::json *reply)
    {
        if (isClosed_) {
            return;
        }
        if (reply == nullptr) {
            nng_ctx_recv(replyContext.context, replyContext.aio);
            return;
        }
        replyContext.isSending = true;
        nng_aio_set_msg(replyContext.aio, encodePeerMessage(*reply).release());
        nng_ctx_send(replyContext.context, replyContext.aio);
    }

    static void onRequestProgress(PendingRequest *pending)
    {
        const int error = nng_aio_result(pending->aio);
        const nng_time now = nng_clock();
        if (error == 0 && !pending->isSent && now < pending->deadline) {
            pending->isSent = true;
            nng_aio_set_timeout(pending->aio, static_cast<nng_duration>(pending->deadline - now));
            nng_ctx_recv(pending->context, pending->aio);
            return;
        }
        std::optional<nlohmann::json> reply;
        if (error == 0 && pending->isSent) {
            reply = pending->state->decode(extractMessage(pending->aio));
        } else if (error != 0 && !pending->isSent) {
            nng_msg_free(nng_aio_get_msg(pending->aio));
        }
        pending->state->completeRequest(std::unique_ptr<PendingRequest>(pending), reply);
    }

    void completeRequest(std::unique_ptr<PendingRequest> pending,
                         const std::optional<nlohmann::json> &reply)
    {
        counters.requestsFailed += reply ? 0 : 1;
        pending->done(reply ? &*reply : nullptr);
        nng_ctx_close(pending->context);
        nng_aio_reap(pending->aio);
        pending.reset();
        const std::lock_guard lock(mutex_);
        --pendingRequests_;
        allRequestsDone_.notify_all();
    }

    // Passes a message to its handler, which throws if a required field is missing. That must not
    // terminate the process.
    template <class Handler>
    void handle(const NngMessage &message, const Handler &handler)
    {
        if (const auto value = decode(message)) {
            try {
                handler(*value);
            } catch (const std::exception &) {
                ++counters.malformed;
            }
        }
    }

    std::optional<nlohmann::json> decode(const NngMessage &message)
    {
        auto value = decodePeerMessage(message);
        ++(value ? counters.received : counters.malformed);
        return value;
    }

    // The socket to a peer, opened on first use; null for an invalid address.
    std::shared_ptr<PeerSocket> peerSocket(Kind kind, const std::string &url)
    {
        const std::lock_guard lock(mutex_);
        if (isClosed_) {
            return nullptr;
        }
        const auto found = peers_.find({kind, url});
        if (found != peers_.end()) {
            return found->second;
        }
        auto socket =
                kind == Kind::OneWay
                        ? dialPeerSocket(nng_push0_open, url, settings_, settings_.oneWayBytes)
                        : dialPeerSocket(nng_req0_open, url, settings_, settings_.requestBytes);
        if (!socket) {
            return nullptr;
        }
        auto shared = std::make_shared<PeerSocket>(std::move(socket).value());
        peers_.emplace(std::pair(kind, url), shared);
        return shared;
    }

    PeerSettings settings_;
    PeerHandlers handlers_;
    PeerAddress address_;
    std::optional<PeerSocket> pull_;
    std::optional<PeerSocket> rep_;
    nng_aio *pullAio_ = nullptr;
    std::vector<std::unique_ptr<ReplyContext>> replyContexts_;
    std::mutex mutex_;
    std::condition_variable allRequestsDone_;
    std::map<std::pair<Kind, std::string>, std::shared_ptr<PeerSocket>> peers_;
    std::size_t pendingRequests_ = 0;
    std::atomic<bool> isClosed_{false};
};

Result<PeerTransport> PeerTransport::open(const PeerSettings &settings, PeerHandlers handlers)
{
    auto state = std::make_shared<State>(settings, std::move(handlers));
    if (const auto failure = state->start()) {
        return *failure;
    }
    return PeerTransport(std::move(state));
}

PeerTransport::PeerTransport(std::shared_ptr<State> state)
    : state_(std::move(state))
{}

PeerTransport::PeerTransport(PeerTransport &&other) noexcept = default;

PeerTransport &PeerTransport::operator=(PeerTransport &&other) noexcept
{
    std::swap(state_, other.state_);
    return *this;
}

PeerTransport::~PeerTransport()
{
    if (state_) {
        state_->close();
    }
}

const PeerAddress &PeerTransport::address() const
{
    return state_->address();
}

bool PeerTransport::post(const PeerAddress &peer, const nlohmann::json &message)
{
    return state_->post(peer.oneWay, message);
}

bool PeerTransport::sendRequest(const PeerAddress &peer, const nlohmann::json &request,
                                Milliseconds timeout,
                                std::function<void(const nlohmann::json *)> done)
{
    return state_->sendRequest(peer.requests, request, timeout, std::move(done));
}

void PeerTransport::forget(const PeerAddress &peer)
{
    state_->forget(State::Kind::OneWay, peer.oneWay);
    state_->forget(State::Kind::Request, peer.requests);
}

PeerCounts PeerTransport::counts() const
{
    const Counters &counters = state_->counters;
    return {counters.received,      counters.malformed,    counters.posted,
            counters.rejectedPosts, counters.requestsSent, counters.requestsFailed};
}

}  // namespace poplarstream
