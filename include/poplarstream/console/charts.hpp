#pragma once

#include <cstdint>  // for uint32_t
#include <deque>  // for deque
#include <span>  // for span
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for PoolId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/telemetry/request_histograms.hpp"  // for LatencyBin

namespace poplarstream::console {

struct PoolSample
{
    PoolId pool;
    std::uint32_t away = 0;
    std::uint32_t maxAway = 0;
};

// Who was away at one time, by the replayed state of one entry host.
struct AwaySample
{
    TimePoint time;
    std::vector<PoolSample> pools;
};

// Oldest first.
using AwayHistory = std::deque<AwaySample>;

// At 5 s a sample the last hour has 720, about 0.6 MB for 20 pools.
inline constexpr Milliseconds samplePeriod{5'000};
inline constexpr Milliseconds historyLength{60 * 60 * 1000};
inline constexpr std::size_t maxSamples = 720;

// Appends a sample and drops those that are too old or too many. A sample from before the newest
// one, after a jump of the clock, starts the history anew.
void addSample(AwayHistory &history, AwaySample sample);

// The hosts of a pool that were away, against its budget, as inline SVG with a text alternative.
std::string awayChart(const AwayHistory &history, const PoolId &pool);

// A latency histogram as inline SVG; a sentence when there are no requests.
std::string latencyChart(std::string_view title, std::span<const LatencyBin> bins);

}  // namespace poplarstream::console
