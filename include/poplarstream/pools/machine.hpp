#pragma once

#include <cstdint>  // for int64_t
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for Id
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/jobs/model.hpp"  // for WorkerId, Resources

namespace poplarstream::pools {

using MachineId = Id<struct MachineTag>;

enum class MachineState { Up, Moving, InMaintenance, Down, Other };

// A machine as the platform lists it.
struct Machine
{
    MachineId id;
    ServiceId pool;
    MachineState state = MachineState::Other;
    ZoneId zone;
    RackId rack;
    std::vector<std::string> labels;
    jobs::Resources capacity;
    jobs::WorkerId worker;  // its life; empty while it has none
};

// A request of the operator that machines have their upkeep.
struct Wave
{
    std::int64_t number = 0;
    std::vector<MachineId> machines;
    Milliseconds duration{0};
    int cap = 1;  // machines in upkeep at once
};

struct MachineCommand
{
    enum class Kind { Move, Maintenance };

    Kind kind = Kind::Move;
    MachineId machine;
    ServiceId pool;  // where to, for a move
    std::int64_t wave = 0;  // for upkeep
    std::string holder;
    std::int64_t fencingToken = 0;
};

enum class CommandResult {
    Done,  // or it was done already
    Fenced,
    Busy,  // not up, or leaving
    NotOfWave,
    Invalid,  // no such machine or pool
    NotDone,  // refused for now
    Unknown,  // no answer: it may have been done
};

}  // namespace poplarstream::pools
