#pragma once

#include <cstdint>  // for uint64_t
#include <functional>  // for function
#include <memory>  // for unique_ptr, shared_ptr
#include <string>  // for string

#include <nlohmann/json_fwd.hpp>  // for json

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/base/time.hpp"  // for Milliseconds

namespace poplarstream {

// The addresses a peer listens on, each as `tcp://ip:port`.
struct PeerAddress
{
    std::string oneWay;  // heartbeats and digests
    std::string requests;  // state transfer and status queries
};

struct PeerSettings
{
    PeerAddress listen;  // port 0 picks a free port
    std::size_t oneWayBytes = 64 * 1024;
    std::size_t requestBytes = 8 * 1024 * 1024;  // also for replies; a state transfer fits
    int queuedMessages = 16;  // per peer; old heartbeats are useless, so the queue is short
    std::size_t pendingRequests = 64;
    std::size_t replyContexts = 4;  // requests handled concurrently
    Milliseconds reconnectMin{100};
    Milliseconds reconnectMax{1000};
};

struct PeerCounts
{
    std::uint64_t received = 0;
    std::uint64_t malformed = 0;  // dropped because they could not be handled
    std::uint64_t posted = 0;
    std::uint64_t rejectedPosts = 0;  // the peer's queue was full
    std::uint64_t requestsSent = 0;
    std::uint64_t requestsFailed = 0;  // timeouts and other failures
};

// Sends the reply to a request. May be called once, from any thread, even after the transport has
// been destroyed. If all copies are destroyed without a call, no reply is sent.
using PeerReply = std::function<void(const nlohmann::json &)>;

// Called on threads of nng, so handlers must be thread-safe and return quickly, for example by
// pushing into a BoundedRing. A message whose handler throws a std::exception is counted as
// malformed.
struct PeerHandlers
{
    std::function<void(const nlohmann::json &)> message;
    std::function<void(const nlohmann::json &, PeerReply)> request;
};

// Messages between entry hosts over TCP (nng push/pull and req/rep), encoded as MessagePack.
// Nothing blocks: a message that cannot be queued is rejected, and one to an unreachable peer stays
// queued until the peer is reachable again or the transport is destroyed. Thread-safe.
class PeerTransport
{
public:
    static Result<PeerTransport> open(const PeerSettings &settings, PeerHandlers handlers);

    PeerTransport(PeerTransport &&other) noexcept;
    PeerTransport &operator=(PeerTransport &&other) noexcept;
    // Closes all sockets and waits for running handlers. Pending requests end without a reply.
    ~PeerTransport();

    // The addresses with the actual ports.
    const PeerAddress &address() const;

    // Sends a one-way message. Returns false if the peer's queue is full or the address is invalid.
    bool post(const PeerAddress &peer, const nlohmann::json &message);

    // Sends a request. `done` is called once, on a thread of nng, with the reply, or with null
    // after a failure or `timeout`. Returns false, without calling `done`, if too many requests are
    // pending or no request can be sent to the address.
    bool sendRequest(const PeerAddress &peer, const nlohmann::json &request, Milliseconds timeout,
                     std::function<void(const nlohmann::json *)> done);

    // Closes the sockets to a peer that has left. Its queued messages are dropped and the pending
    // requests to it end without a reply.
    void forget(const PeerAddress &peer);

    PeerCounts counts() const;

private:
    class State;

    explicit PeerTransport(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
