#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <string>  // for string

#include "poplarstream/edge/peer_calls.hpp"  // for SendToOwner, PeerRequest
#include "poplarstream/edge/runtime.hpp"  // for Runtime

namespace poplarstream::edge {

// What requests to owners need from the rest of the process.
struct OwnerRequestHooks
{
    // Sends a request to the owner of its shard, which may be this process.
    SendToOwner sendToOwner;
    // The time up to which all changes of the operator's log have been read.
    std::function<TimePoint()> logReadAsOf;
};

// Sends lookups to the owner of a shard, and sends them again while their callers wait and the
// shard has no owner that responds: a takeover takes seconds.
class OwnerRequests
{
public:
    OwnerRequests(Runtime &runtime, OwnerRequestHooks hooks);
    OwnerRequests(const OwnerRequests &) = delete;
    OwnerRequests &operator=(const OwnerRequests &) = delete;
    ~OwnerRequests();

    // Calls `done` once: with the response of the owner, or with the last failure when the caller's
    // time is over. `request` must have no effect. `remaining` is how long the caller waits.
    void ask(const PeerRequest &request, Milliseconds remaining,
             std::function<void(PeerResponse)> done);

    // Calls all callbacks before `end`, since the process ends then; also those of later requests.
    void endBy(TimePoint end);

    // Metrics in the Prometheus text format.
    std::string metrics() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
