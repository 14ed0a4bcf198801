#pragma once

#include <functional>  // for function
#include <map>  // for map
#include <memory>  // for shared_ptr
#include <optional>  // for optional

#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/engine/state.hpp"  // for JobId, QueueId

namespace poplarstream::edge {

// How long the predecessor's workers may run on without an answer to this owner.
struct Inheritance
{
    std::int64_t epoch = 0;
    // The predecessor handed over: it renews no lease any more.
    bool isHandover = false;
    // When earlier owners last ordered each machine.
    std::map<std::string, TimePoint> recentMachineCommands;
};

struct OwnerSessionHooks
{
    // Whether this process is the owner as far as it knows, whether a renewal confirmed that just
    // now, and when one did last.
    std::function<bool()> isInOffice;
    std::function<bool()> mayIssueCommands;
    std::function<TimePoint()> confirmedAt;
    // Asks the store to confirm the ownership now, naming the machines to be ordered.
    std::function<void(std::vector<std::string> machines, std::function<void(bool)>)> confirm;
    // The store has seen a higher epoch: this session must end.
    std::function<void()> superseded;
};

// What a process does while it owns the jobs: loads them from the store, follows what entry hosts
// accept, and runs them on the workers.
class OwnerSession
{
public:
    OwnerSession(Runtime &runtime, const Inheritance &inheritance, OwnerSessionHooks hooks);
    OwnerSession(const OwnerSession &) = delete;
    OwnerSession &operator=(const OwnerSession &) = delete;
    ~OwnerSession();

    // Gives no order afterwards.
    void close();

    void configure(const Configuration &configuration);
    void applyWave(const pools::Wave &wave);

    // Whether everything that was stored before has been read.
    bool isLoaded() const;
    // Whether all that was accepted until shortly before has been read.
    bool isCurrent(TimePoint now) const;

    std::optional<jobs::JobState> stateOf(const engine::QueueId &queue,
                                          const engine::JobId &id) const;
    int waitingJobs(const engine::QueueId &queue) const;

    // Text for the metrics page.
    std::string metrics() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
