#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// Sends the looks that are due and gives up what must have lapsed. Called every few tens of
// milliseconds.
void pollWorkers(Engine &engine, TimePoint now);

}  // namespace poplarstream::engine
