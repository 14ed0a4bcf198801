#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <string>  // for string

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::edge {

// Metrics of an owner session in the Prometheus text format. `unusableEntries` counts the entries
// of the registry that could not be read, `withoutJob` the jobs whose submission has not been read.
std::string sessionMetrics(const engine::Engine &engine, int shard, std::uint64_t unusableEntries,
                           std::size_t withoutJob, TimePoint now);

}  // namespace poplarstream::edge
