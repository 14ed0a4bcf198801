#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/edge/peer_calls.hpp"  // for PeerRequest, PeerResponse
#include "poplarstream/edge/runtime.hpp"  // for Runtime

namespace poplarstream::edge {

// One entry host on a platform: answers callers, follows the configuration, stands for the
// ownership of the jobs, and runs them while it has it.
class EntryProcess
{
public:
    EntryProcess(Runtime &runtime, HttpClient &peers);
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;
    ~EntryProcess();

    void handleCall(const Call &call, const Respond &reply);

    // A request of another entry host.
    void handlePeerRequest(const HttpRequest &request, const HttpRespond &respond);

    // Whether the load balancer should send callers here.
    bool isReady() const;

    // Hands the ownership over and becomes unready.
    void leave();

    std::string metrics() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
