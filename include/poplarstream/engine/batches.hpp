#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine, Batch

namespace poplarstream::engine {

// Takes what has to be written now. At most one batch may be under way.
Batch collectBatch(Engine &engine);

// The store has the batch: sends the starts that it holds, lets ends be acknowledged, and lets
// callers know the states.
void applyStored(Engine &engine, const Batch &batch, TimePoint now);

}  // namespace poplarstream::engine
