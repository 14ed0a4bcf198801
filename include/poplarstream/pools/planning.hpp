#pragma once

#include <vector>  // for vector

#include "poplarstream/pools/state.hpp"  // for Pools, Machine, MachineCommand

namespace poplarstream::pools {

// Applies a complete list of the platform's machines that was requested at `askedAt`. Unreachable
// workers that the lists have lacked for some time are ended in the engine.
void applyMachineList(Pools &pools, engine::Engine &engine, const std::vector<Machine> &machines,
                      TimePoint askedAt, TimePoint now);

// Adds or updates a wave requested by the operator. `begun` are the machines whose maintenance a
// previous owner recorded as begun.
void applyWave(Pools &pools, const Wave &wave, const std::set<MachineId> &begun, TimePoint seenAt);

// Decides which machines to drain, move and maintain; returns the commands to send now.
std::vector<MachineCommand> planMachines(Pools &pools, engine::Engine &engine, TimePoint now);

// Whether a command that was decided a moment ago still interrupts no task.
bool mayBeSent(const Pools &pools, engine::Engine &engine, const MachineCommand &command);

// Handles the platform's response to a command; NotDone also if it was not sent after all. Returns
// the wave whose record has to be written, if any.
std::optional<std::int64_t> handleCommandResult(Pools &pools, engine::Engine &engine,
                                                const MachineCommand &command, CommandResult result,
                                                TimePoint now);

// Whether the maintenance of every machine of the wave that still exists has begun.
bool isCarriedOut(const Pools &pools, const WaveView &wave);

}  // namespace poplarstream::pools
