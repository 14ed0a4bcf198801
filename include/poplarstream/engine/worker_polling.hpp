#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// Sends the polls that are due and releases attempts whose lease must have expired. Called every
// few tens of milliseconds.
void pollWorkers(Engine &engine, TimePoint now);

}  // namespace poplarstream::engine
