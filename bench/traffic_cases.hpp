#pragma once

#include <cstdint>  // for uint64_t
#include <functional>  // for function
#include <span>  // for span
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "measure_line.hpp"  // for MeasureLine

namespace poplarstream::bench {

// The urgent path's part of the cases of docs/design.md, section 14. Each runs the present and the
// naive version on the same seed.
std::vector<MeasureLine> floodLeastUrgent(std::uint64_t seed);
std::vector<MeasureLine> floodMostUrgent(std::uint64_t seed);
std::vector<MeasureLine> burstsInTurn(std::uint64_t seed);
std::vector<MeasureLine> silentConnections(std::uint64_t seed);
std::vector<MeasureLine> zoneCut(std::uint64_t seed);
std::vector<MeasureLine> regionApart(std::uint64_t seed);
// Called by the case platform-away, which also has runs and configuration.
std::vector<MeasureLine> platformAway(std::uint64_t seed);
// Cases beyond the table: the faults that routing and limits are there for.
std::vector<MeasureLine> badMinions(std::uint64_t seed);
std::vector<MeasureLine> wrongSlots(std::uint64_t seed);
std::vector<MeasureLine> leavingMinions(std::uint64_t seed);
std::vector<MeasureLine> shareReclaimed(std::uint64_t seed);

struct TrafficCase
{
    std::string_view name;
    std::function<std::vector<MeasureLine>(std::uint64_t seed)> run;
};

// All cases, in the order of the table.
std::span<const TrafficCase> trafficCases();

}  // namespace poplarstream::bench
