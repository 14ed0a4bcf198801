#pragma once

#include <functional>  // for function
#include <map>  // for map
#include <memory>  // for shared_ptr
#include <optional>  // for optional

#include "poplarstream/accounts/admission.hpp"  // for Holds
#include "poplarstream/edge/cap_lending.hpp"  // for LoanRespond
#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/engine/state.hpp"  // for JobId, QueueId
#include "poplarstream/ownership/division.hpp"  // for Shard
#include "poplarstream/ownership/leadership.hpp"  // for EarlierOwners

namespace poplarstream::edge {

// What a new owner knows about those before it.
struct PredecessorState
{
    std::int64_t epoch = 0;  // of the new owner
    ownership::EarlierOwners owners;
    // When an earlier owner last sent a command for each machine.
    std::map<std::string, TimePoint> recentMachineCommands;
};

struct OwnerSessionHooks
{
    // Whether this process is the owner, as far as it has read the ownership log, and is not
    // leaving.
    std::function<bool()> isOwner;
    // Whether a resignation of this process may be stored. It renews no lease and sends no command
    // from then on.
    std::function<bool()> mayHaveResigned;
    // Whether a renewal was confirmed recently enough to send commands.
    std::function<bool()> mayIssueCommands;
    // When the newest confirmed renewal was sent.
    std::function<TimePoint()> confirmedAt;
    // Renews the ownership at once, in a record that names the machines to be commanded.
    std::function<void(std::vector<std::string> machines, std::function<void(bool)>)> confirm;
    // The progress of earlier owners has been fenced.
    std::function<void()> fenced;
    // The store has a record of a higher epoch: this session must end.
    std::function<void()> superseded;
    // Whether a shard has carried out a wave, as far as its owners have said.
    std::function<bool(int shard, std::int64_t wave)> hasCarriedOut;
    // This shard has carried out a wave.
    std::function<void(std::int64_t wave)> carriedOut;
    // Tells the entry hosts of which accounts less is to be accepted.
    std::function<void(const accounts::Holds &)> publishHolds;
    // Sends a request for parts of caps to the owner of another shard.
    std::function<void(int shard, std::string request, LoanRespond done)> requestLoans;
};

// The work of a process while it owns a shard: loads the shard's jobs from the store, follows the
// submissions and cancellations that entry hosts store, and runs the jobs on the shard's workers.
class OwnerSession
{
public:
    OwnerSession(Runtime &runtime, ownership::Shard shard, const PredecessorState &predecessor,
                 OwnerSessionHooks hooks);
    OwnerSession(const OwnerSession &) = delete;
    OwnerSession &operator=(const OwnerSession &) = delete;
    ~OwnerSession();

    // Sends no command afterwards.
    void close();

    void configure(const Configuration &configuration);
    void applyWave(const pools::Wave &wave);

    // Whether the state that was stored before this session has been loaded.
    bool isLoaded() const;
    // Whether the job log has been read up to shortly before `now`.
    bool isCurrent(TimePoint now) const;

    // The state to report to a caller, see engine::stateOf.
    std::optional<jobs::JobState> stateOf(const engine::QueueId &queue, const engine::JobId &id,
                                          const AccountId &caller) const;
    int waitingJobs(const engine::QueueId &queue) const;

    // Handles the request of another owner for parts of caps.
    void respondToLoans(const std::string &request, const LoanRespond &done) const;

    // What the job's tasks do or wait for, see engine::explainJob.
    std::vector<std::string> explainJob(const engine::JobId &id) const;

    // Metrics of the shard in the Prometheus text format.
    std::string metrics() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
