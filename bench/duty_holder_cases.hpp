#pragma once

#include <cstdint>  // for uint64_t
#include <vector>  // for vector

#include "measure_line.hpp"  // for MeasureLine

namespace poplarstream::bench {

// Two ways to keep a duty with one entry host, side by side in the same hour of the same faults.
// `now` is the duty lease; `naive` is the lowest-sorted live host, which claims the next term when
// another one holds the present term and acts while its term is the newest that it has seen.
std::vector<MeasureLine> measureDutyHolder(std::uint64_t seed);

}  // namespace poplarstream::bench
