#pragma once

#include <cstdint>  // for uint64_t
#include <vector>  // for vector

#include "measure_line.hpp"  // for MeasureLine

namespace poplarstream::bench {

// The measured cases of maintenance waves, on a virtual clock. `naive` takes one host at a time.
// The lower bound of a roll-out follows from the budgets alone: see lower_bound.hpp.
std::vector<MeasureLine> measureWaveVanHarselaar(std::uint64_t seed);
std::vector<MeasureLine> measureWaveExLibris(std::uint64_t seed);
std::vector<MeasureLine> measureWaveWithRackLoss(std::uint64_t seed);
std::vector<MeasureLine> measureWaveWithLogOutage(std::uint64_t seed);

// The wave part of two-year-size: 4,500 hosts in 20 pools and 15 zones, with 28 failures a day.
std::vector<MeasureLine> measureWaveTwoYearSize(std::uint64_t seed);

}  // namespace poplarstream::bench
