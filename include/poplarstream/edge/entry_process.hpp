#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/adapters/http_message.hpp"  // for HttpRequest, HttpResponse
#include "poplarstream/edge/peer_calls.hpp"  // for PeerRequest, PeerResponse
#include "poplarstream/edge/runtime.hpp"  // for Runtime

namespace poplarstream::edge {

// One entry host on a platform: handles the requests of callers, follows the configuration,
// competes for the ownership of the jobs, and runs the jobs while it is the owner.
class EntryProcess
{
public:
    EntryProcess(Runtime &runtime, HttpClient &peers);
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;
    ~EntryProcess();

    void handleCall(const Call &call, const Respond &respond);

    // Handles a request of another entry host.
    void handlePeerRequest(const HttpRequest &request, const HttpRespond &respond);

    // Whether the load balancer should send callers here.
    bool isReady() const;

    // Gives the ownership to another process after a callback was broken off by an exception.
    void abandonOwnership();

    // Resigns the ownership, reports not ready from now on, and responds to all callers before
    // `end`, when the process ends.
    void leave(TimePoint end);

    // Handles a request on the metrics address: `/explain/ID` says in sentences what the tasks of a
    // job do or wait for, if this process owns its shard; any other path gives the metrics.
    HttpResponse respondToOperator(const HttpRequest &request) const;

    // Metrics in the Prometheus text format.
    std::string metrics() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
