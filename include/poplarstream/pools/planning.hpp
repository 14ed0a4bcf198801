#pragma once

#include <vector>  // for vector

#include "poplarstream/pools/state.hpp"  // for Pools, Machine, MachineCommand

namespace poplarstream::pools {

// Takes a whole list of the platform's machines that was asked for at `askedAt`. Lives that the
// list shows to be over are ended in the engine.
void applyMachineList(Pools &pools, engine::Engine &engine, const std::vector<Machine> &machines,
                      TimePoint askedAt, TimePoint now);

// Takes a wave that the operator asks for. `begun` are the machines whose upkeep an earlier owner
// recorded.
void applyWave(Pools &pools, const Wave &wave, const std::set<MachineId> &begun, TimePoint seenAt);

// Decides which machines to empty, move and take down for upkeep; returns the orders to send now.
std::vector<MachineCommand> planMachines(Pools &pools, engine::Engine &engine, TimePoint now);

// The platform's answer to an order. Returns the wave whose record has to be written, if any.
std::optional<std::int64_t> handleCommandResult(Pools &pools, engine::Engine &engine,
                                                const MachineCommand &order, CommandResult result,
                                                TimePoint now);

// Whether every machine of the wave that is still there has begun its upkeep.
bool isCarriedOut(const Pools &pools, const WaveView &wave);

}  // namespace poplarstream::pools
