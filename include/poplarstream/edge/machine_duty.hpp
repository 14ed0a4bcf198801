#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::edge {

struct MachineDutyHooks
{
    // Whether this process may give orders now.
    std::function<bool()> mayIssueCommands;
    // Asks the store to confirm the ownership now. Machines do not check fencing tokens everywhere,
    // so an order that a cut holds up must be unlikely.
    std::function<void(std::vector<std::string> machines, std::function<void(bool)>)> confirm;
};

// The owner's work on machines: follows the platform's list, gives the orders that are planned, and
// records the progress of waves.
class MachineDuty
{
public:
    // The engine must outlive the duty.
    MachineDuty(Runtime &runtime, engine::Engine &engine, std::int64_t epoch,
                MachineDutyHooks hooks);
    MachineDuty(const MachineDuty &) = delete;
    MachineDuty &operator=(const MachineDuty &) = delete;
    ~MachineDuty();

    // Takes what earlier owners recorded of waves.
    void adopt(const StoredRecord &record);

    void applyWave(const pools::Wave &wave);

    // Begins to order, machines that an earlier owner ordered lately not before the time given.
    void start(std::map<pools::MachineId, TimePoint> cooldownUntil);

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
