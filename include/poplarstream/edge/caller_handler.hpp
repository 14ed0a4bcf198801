#pragma once

#include <functional>  // for function
#include <optional>  // for optional
#include <string>  // for string

#include "poplarstream/accounts/admission.hpp"  // for Hold
#include "poplarstream/edge/authentication_log.hpp"  // for AuthenticationLog
#include "poplarstream/edge/owner_requests.hpp"  // for OwnerRequests
#include "poplarstream/edge/peer_calls.hpp"  // for SendToOwner, PeerRequest
#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/edge/submission_store.hpp"  // for SubmissionStore

namespace poplarstream::edge {

// What the handler needs from the rest of the process.
struct CallerHooks
{
    // Null until a configuration has been read.
    std::function<const Configuration *()> configuration;
    // The time up to which all changes of the configuration have been read.
    std::function<TimePoint()> configurationAsOf;
    // The number of shards of the deployment; 0 while it is not known.
    std::function<int()> shardCount;
    // Sends a request to the owner of its shard, which may be this process.
    SendToOwner sendToOwner;
    // Whether this process is the owner of a shard. Without it, it is taken not to be.
    std::function<bool(int shard)> isOwner = {};
    // What the owner of a shard has said about an account. Without it, all is accepted.
    std::function<std::optional<accounts::Hold>(int shard, const AccountId &)> holdOf = {};
    // Whether the newest version of the configuration could not be read, so that an older one is in
    // force. Without it, it is taken to have been read.
    std::function<bool()> isConfigurationUnusable = {};
};

// Handles the requests of callers: stores submissions and cancellations, and gets the state of jobs
// from their owner.
class CallerHandler
{
public:
    CallerHandler(Runtime &runtime, CallerHooks hooks);

    void handleCall(const Call &call, const Respond &respond);

    // Responds to all callers before `end`, since the process ends then.
    void leave(TimePoint end);

    // Metrics in the Prometheus text format.
    std::string metrics() const;

private:
    void dispatch(const Call &call, const Respond &respond);
    void submit(const Route &route, const jobs::JobId &id, const AccountId &account,
                const Call &call, const Respond &respond);
    void cancel(const Route &route, const jobs::JobId &id, const AccountId &account,
                const Call &call, const Respond &respond);
    void lookUp(const Route &route, const jobs::JobId &id, const AccountId &account,
                const Call &call, const Respond &respond);
    // When a submission should come back that is rejected since its account is beyond its share.
    std::optional<Milliseconds> rejectionOf(const jobs::Submission &submission) const;
    // The shard of a partition of the job log; 0 while the number of shards is not known.
    int shardOf(int partition) const;
    void count(const Route &route, const Call &call, const Respond &respond);

    Runtime &runtime_;
    CallerHooks hooks_;
    AuthenticationLog authentications_;
    SubmissionStore submissions_;
    OwnerRequests owners_;
    std::uint64_t rejectedOverShare_ = 0;
};

}  // namespace poplarstream::edge
