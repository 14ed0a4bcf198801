#pragma once

#include <cstdint>  // for int64_t
#include <functional>  // for function
#include <map>  // for map
#include <memory>  // for shared_ptr
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/ownership/leadership.hpp"  // for Leadership

namespace poplarstream::edge {

struct LeadershipEvents
{
    // Called after each read and write of the ownership log: the owner may have changed.
    std::function<void()> changed;
    // The number of shards of the deployment has been read from the log of shard 0, or stored.
    std::function<void(int shardCount)> divided;
    // The processor time that this process has for the shard, in cores.
    std::function<double()> processorShare;
};

// Follows the ownership log of one shard, and writes the claims, renewals and the resignation of
// this process.
class LeadershipController
{
public:
    LeadershipController(Runtime &runtime, int shard, LeadershipEvents events);
    LeadershipController(const LeadershipController &) = delete;
    LeadershipController &operator=(const LeadershipController &) = delete;
    ~LeadershipController();

    const ownership::Leadership &leadership() const;

    // Renews the ownership at once, in a record that names the machines that are to be commanded.
    // Calls `done` with whether the store confirmed the record.
    void confirm(std::vector<std::string> machines, std::function<void(bool isConfirmed)> done);

    // When any owner last sent a command for each machine.
    const std::map<std::string, TimePoint> &recentMachineCommands() const;

    // Stores the number of shards with the next renewal, and repeats it until it is stored.
    void storeDivision(int shardCount);

    // Says in the renewals that the shard has carried out a wave.
    void recordCarriedOut(std::int64_t wave);

    // Says in the renewals of which client accounts less is to be accepted.
    void publishAccountHolds(std::string holds);

    // The progress of earlier owners has been fenced in this epoch.
    void recordFence(std::int64_t epoch);

    // Resigns the ownership and does not claim it again.
    void leave();

    // Reads the log soon: the owner may have changed.
    void refresh();

    // Resigns the ownership of `epoch`. This process may claim it again later.
    void abandon(std::int64_t epoch);

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
