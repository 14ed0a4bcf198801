#pragma once

#include <cstdint>  // for int64_t
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for Id
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/jobs/model.hpp"  // for WorkerId, Resources

namespace poplarstream::pools {

using poplarstream::MachineId;

enum class MachineState { Up, Moving, InMaintenance, Down, Other };

// A machine as listed by the platform.
struct Machine
{
    MachineId id;
    ServiceId pool;
    MachineState state = MachineState::Other;
    ZoneId zone;
    RackId rack;
    std::vector<std::string> labels;
    jobs::Resources capacity;
    jobs::WorkerId worker;  // current incarnation; empty while the machine has none
};

// An operator's request to maintain a set of machines.
struct Wave
{
    std::int64_t number = 0;
    std::vector<MachineId> machines;
    Milliseconds duration{0};
    int cap = 1;  // machines in maintenance at the same time
};

// A command to the platform for one machine.
struct MachineCommand
{
    enum class Kind { Move, Maintenance };

    Kind kind = Kind::Move;
    MachineId machine;
    ServiceId pool;  // target pool of a move
    std::int64_t wave = 0;  // wave of a maintenance
    std::string holder;
    std::int64_t fencingToken = 0;
};

enum class CommandResult {
    Done,  // now or by an earlier attempt
    Fenced,
    Busy,  // the machine is not up, or is being removed
    NotOfWave,
    Invalid,  // no such machine or pool
    NotDone,  // refused for now
    Unknown,  // no response: the command may have been carried out
};

}  // namespace poplarstream::pools
