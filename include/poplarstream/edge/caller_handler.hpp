#pragma once

#include <functional>  // for function
#include <optional>  // for optional

#include "poplarstream/edge/peer_calls.hpp"  // for PeerRequest, PeerResponse
#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/edge/store_health.hpp"  // for StoreHealth

namespace poplarstream::edge {

// What callers' requests are answered from.
struct CallerHooks
{
    // Null until a configuration was read.
    std::function<const Configuration *()> configuration;
    // Asks the owner of the jobs, which may be this process.
    std::function<void(const PeerRequest &, Milliseconds, std::function<void(PeerResponse)>)>
            sendToOwner;
};

// Answers a caller: stores submissions and cancellations, looks states up at the owner.
class CallerHandler
{
public:
    CallerHandler(Runtime &runtime, CallerHooks hooks);

    void handleCall(const Call &call, const Respond &reply);

private:
    void answerCall(const Call &call, const Respond &reply);
    void submit(const Route &route, const jobs::JobId &id, const Call &call, const Respond &reply);
    void cancel(const jobs::JobId &id, const Call &call, const Respond &reply);
    void lookUp(const Route &route, const jobs::JobId &id, const Call &call, const Respond &reply);
    void count(const Route &route, const Call &call, const Respond &reply);
    void store(const StoredRecord &record, ResponseKind stored, Milliseconds remaining,
               const Respond &reply);
    void storeDirectly(const StoredRecord &record, ResponseKind stored, Milliseconds remaining,
                       const Respond &reply);
    // `tried` is the outcome of a call to the store before, if there was one.
    void storeThroughOwner(const StoredRecord &record, ResponseKind stored,
                           std::optional<AppendResult> tried, Milliseconds remaining,
                           const Respond &reply);

    Runtime &runtime_;
    CallerHooks hooks_;
    StoreHealth health_;
};

}  // namespace poplarstream::edge
