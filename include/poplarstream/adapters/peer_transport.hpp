#pragma once

#include <cstdint>  // for uint64_t
#include <functional>  // for function
#include <memory>  // for unique_ptr, shared_ptr
#include <string>  // for string

#include <nlohmann/json_fwd.hpp>  // for json

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/base/time.hpp"  // for Milliseconds

namespace poplarstream {

// Where a peer listens, as `tcp://ip:port` each.
struct PeerAddress
{
    std::string oneWay;  // heartbeats and digests
    std::string requests;  // state transfer and status questions
};

struct PeerSettings
{
    PeerAddress listen;  // port 0 picks a free port
    std::size_t oneWayBytes = 64 * 1024;
    std::size_t requestBytes = 8 * 1024 * 1024;  // requests and replies; a state transfer fits
    int queuedMessages = 16;  // for each peer; older heartbeats are of no use
    std::size_t pendingRequests = 64;
    std::size_t replyContexts = 4;  // requests that are answered at the same time
    Milliseconds reconnectMin{100};
    Milliseconds reconnectMax{1000};
};

struct PeerCounts
{
    std::uint64_t received = 0;
    std::uint64_t malformed = 0;  // dropped messages
    std::uint64_t posted = 0;
    std::uint64_t refusedPosts = 0;  // the queue of the peer was full
    std::uint64_t asked = 0;
    std::uint64_t unanswered = 0;  // asks that timed out or failed
};

// Sends the reply to a request. May be called once, from any thread, also after the transport has
// been destroyed. A request whose reply function is destroyed unused is not answered.
using PeerReply = std::function<void(const nlohmann::json &)>;

// What a transport calls, on the threads of nng: it must be thread-safe and return quickly, for
// example by pushing into a BoundedRing. A std::exception from a handler counts the message as
// malformed.
struct PeerHandlers
{
    std::function<void(const nlohmann::json &)> message;
    std::function<void(const nlohmann::json &, PeerReply)> request;
};

// Messages between entry hosts over TCP (nng push/pull and req/rep), encoded as MessagePack.
// Nothing blocks: a message that cannot be queued is refused, one to an unreachable peer waits in
// the queue until the peer is back or the transport ends. Safe to call from any thread.
class PeerTransport
{
public:
    static Result<PeerTransport> open(const PeerSettings &settings, PeerHandlers handlers);

    PeerTransport(PeerTransport &&other) noexcept;
    PeerTransport &operator=(PeerTransport &&other) noexcept;
    // Closes all sockets and waits for running handlers. Pending asks end without a reply.
    ~PeerTransport();

    // The addresses with the actual ports.
    const PeerAddress &address() const;

    // Sends a message one way. Returns false when the peer's queue is full or the address is bad.
    bool post(const PeerAddress &peer, const nlohmann::json &message);

    // Sends a request. `done` is called once, on a thread of nng, with the reply or with null after
    // `timeout`. Returns false, without a call of `done`, when too many asks are pending.
    bool sendRequest(const PeerAddress &peer, const nlohmann::json &request, Milliseconds timeout,
                     std::function<void(const nlohmann::json *)> done);

    // Closes the sockets to a peer that has left. Its queued messages are dropped and its pending
    // asks end without a reply.
    void forget(const PeerAddress &peer);

    PeerCounts counts() const;

private:
    class State;

    explicit PeerTransport(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
