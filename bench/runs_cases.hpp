#pragma once

#include <cstdint>  // for uint64_t
#include <vector>  // for vector

#include "measure_line.hpp"  // for MeasureLine

namespace poplarstream::bench {

// The cases of slow runs, each against a naive dispatcher (first come, random worker, retry three
// times). The same seed gives the same figures.
std::vector<MeasureLine> runBadWorkers(std::uint64_t seed);
std::vector<MeasureLine> runWrongSizes(std::uint64_t seed);
std::vector<MeasureLine> runCancelWave(std::uint64_t seed);
std::vector<MeasureLine> runLostAppendAnswers(std::uint64_t seed);
std::vector<MeasureLine> runPausedHolders(std::uint64_t seed);
std::vector<MeasureLine> runReplacedAll(std::uint64_t seed);
std::vector<MeasureLine> runPlatformAway(std::uint64_t seed);

}  // namespace poplarstream::bench
