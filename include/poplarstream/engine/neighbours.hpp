#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine, Worker

namespace poplarstream::engine {

// Learns from the figures that a worker has just reported which images slow each other down. Each
// figure covers half a second, so reports that follow sooner are skipped.
void observeNeighbours(Engine &engine, Worker &worker, TimePoint now);

// Forgets what is old, and queues the pairs that were named or forgotten for the decision log.
void reviewNeighbours(Engine &engine, TimePoint now);

}  // namespace poplarstream::engine
