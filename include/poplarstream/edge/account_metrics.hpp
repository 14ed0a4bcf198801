#pragma once

#include <string>  // for string

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::edge {

// Metrics of the client accounts that an owner serves, in the Prometheus text format: what each has
// in use, its limit, its waiting tasks and its waiting jobs beyond the rate that it is owed. The
// accounts with the most processors in use have lines of their own; the others are one sum with the
// label `rest`. Empty without accounts.
std::string accountMetrics(const engine::Engine &engine, int shard);

}  // namespace poplarstream::edge
