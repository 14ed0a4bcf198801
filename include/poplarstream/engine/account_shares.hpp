#pragma once

#include "poplarstream/engine/ranking.hpp"  // for WaitingStep
#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// Counts a job that has arrived, and notes in it whether its account submits more than it is owed.
void countArrival(Engine &engine, jobs::Job &job);

// Sets the share of each step that waits, by what its account has got of the pool lately. Does
// nothing without accounts.
void rankShares(Engine &engine, std::map<ServiceId, std::vector<WaitingStep>> &waiting,
                TimePoint now);

// Takes over the weights of a new configuration and drops what is known of removed accounts.
void configureShares(Engine &engine);

}  // namespace poplarstream::engine
