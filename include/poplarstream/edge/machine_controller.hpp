#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <string>  // for string

#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/engine/state.hpp"  // for Engine
#include "poplarstream/ownership/division.hpp"  // for Shard

namespace poplarstream::edge {

struct MachineControllerHooks
{
    // Whether this process may send commands now.
    std::function<bool()> mayIssueCommands;
    // When the newest confirmed renewal was sent.
    std::function<TimePoint()> confirmedAt;
    // Renews the ownership at once, in a record that names the machines. Not every machine checks
    // fencing tokens, so commands of an owner that was replaced during a network partition must be
    // unlikely.
    std::function<void(std::vector<std::string> machines, std::function<void(bool)>)> confirm;
    // Whether a shard has carried out a wave, as far as its owners have said.
    std::function<bool(int shard, std::int64_t wave)> hasCarriedOut;
    // This shard has carried out a wave: other shards may take its places.
    std::function<void(std::int64_t wave)> carriedOut;
};

// The owner's work on the machines of a shard: polls the platform's machine list, sends the planned
// commands, and stores the progress of waves. The owner of shard 0 reports them to the operator.
class MachineController
{
public:
    // The engine must outlive the controller.
    MachineController(Runtime &runtime, ownership::Shard shard, engine::Engine &engine,
                      std::int64_t epoch, MachineControllerHooks hooks);
    MachineController(const MachineController &) = delete;
    MachineController &operator=(const MachineController &) = delete;
    ~MachineController();

    // Restores what an earlier owner stored about a wave. To be called before `applyWave`.
    void adopt(const StoredRecord &record);

    void applyWave(const pools::Wave &wave);

    // Metrics in the Prometheus text format.
    std::string metrics() const;

    // Begins to send commands. A machine in `cooldownUntil`, which an earlier owner commanded
    // recently, gets none before the time given there.
    void start(std::map<pools::MachineId, TimePoint> cooldownUntil);

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
