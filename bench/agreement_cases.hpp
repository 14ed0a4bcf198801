#pragma once

#include <cstdint>  // for uint64_t
#include <vector>  // for vector

#include "measure_line.hpp"  // for MeasureLine

namespace poplarstream::bench {

// A day of 3,400 changes by operators, of whom some race, with lost append answers and outages of
// the log.
std::vector<MeasureLine> measureConfigRace(std::uint64_t seed);

// The platform is away for 10 minutes while changes, runs and minions that fail go on.
std::vector<MeasureLine> measurePlatformAway(std::uint64_t seed);

// The control part of the cases whose urgent part is in traffic_cases.hpp: how long the entry hosts
// that were cut off take to agree with the others.
std::vector<MeasureLine> measureZoneCutAgreement(std::uint64_t seed);
std::vector<MeasureLine> measureRegionApartAgreement(std::uint64_t seed);

}  // namespace poplarstream::bench
