#pragma once

#include <span>  // for span
#include <string>  // for string

#include "poplarstream/engine/state.hpp"  // for Engine, Batch

namespace poplarstream::engine {

// Collects the changes to write next. At most one batch may be in flight.
Batch collectBatch(Engine &engine);

// Called before applyStored() if the store refuses records of the batch for good, by their keys:
// their jobs fail, which has to be written next.
void dropRefused(Engine &engine, Batch &batch, std::span<const std::string> keys, TimePoint now);

// Called when a batch is durable: sends its start commands, allows its completions to be
// acknowledged, and makes its job states visible to callers.
void applyStored(Engine &engine, const Batch &batch, TimePoint now);

}  // namespace poplarstream::engine
