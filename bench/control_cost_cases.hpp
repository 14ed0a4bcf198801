#pragma once

#include <cstdint>  // for uint64_t
#include <vector>  // for vector

#include "measure_line.hpp"  // for MeasureLine

namespace poplarstream::bench {

// What control costs the busiest entry host at the design size, worked out as in docs/CAPACITY.md.
// The naive version has no zones: one stream of runs that all entry hosts read, and heartbeats
// between all of them. Processor time is measured, so that it differs between runs of one seed.
std::vector<MeasureLine> measureControlCost(std::uint64_t seed);

}  // namespace poplarstream::bench
