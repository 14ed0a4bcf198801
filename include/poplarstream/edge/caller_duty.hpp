#pragma once

#include <functional>  // for function
#include <optional>  // for optional

#include "poplarstream/edge/peer_calls.hpp"  // for PeerQuestion, PeerReply
#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/edge/store_health.hpp"  // for StoreHealth

namespace poplarstream::edge {

// What callers' requests are answered from.
struct CallerHooks
{
    // Null until a configuration was read.
    std::function<const Configuration *()> configuration;
    // Asks the owner of the jobs, which may be this process.
    std::function<void(const PeerQuestion &, Milliseconds, std::function<void(PeerReply)>)>
            askOwner;
};

// Answers a caller: stores submissions and cancellations, looks states up at the owner.
class CallerDuty
{
public:
    CallerDuty(Runtime &runtime, CallerHooks hooks);

    void take(const Call &call, const Reply &reply);

private:
    void answerCall(const Call &call, const Reply &reply);
    void submit(const Route &route, const jobs::JobId &id, const Call &call, const Reply &reply);
    void cancel(const jobs::JobId &id, const Call &call, const Reply &reply);
    void lookUp(const Route &route, const jobs::JobId &id, const Call &call, const Reply &reply);
    void count(const Route &route, const Call &call, const Reply &reply);
    void store(const StoredRecord &record, AnswerKind stored, Milliseconds remaining,
               const Reply &reply);
    void storeDirectly(const StoredRecord &record, AnswerKind stored, Milliseconds remaining,
                       const Reply &reply);
    // `tried` is the outcome of a call to the store before, if there was one.
    void storeThroughOwner(const StoredRecord &record, AnswerKind stored,
                           std::optional<AppendResult> tried, Milliseconds remaining,
                           const Reply &reply);

    Runtime &runtime_;
    CallerHooks hooks_;
    StoreHealth health_;
};

}  // namespace poplarstream::edge
