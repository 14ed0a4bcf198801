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

// The number of hosts away in each pool at one time, by the replayed state of one entry host.
struct AwaySample
{
    TimePoint time;
    std::vector<PoolSample> pools;
};

// Oldest first.
using AwayHistory = std::deque<AwaySample>;

// One hour at one sample every 5 s is 720 samples, about 0.6 MB for 20 pools.
inline constexpr Milliseconds samplePeriod{5'000};
inline constexpr Milliseconds historyLength{60 * 60 * 1000};
inline constexpr std::size_t maxSamples = 720;

// Appends a sample and drops the oldest ones beyond historyLength or maxSamples. A sample older
// than the newest one means that the clock was set back; it clears the history.
void addSample(AwayHistory &history, AwaySample sample);

// Inline SVG, with a text alternative, of a pool's hosts away over time and its budget.
std::string awayChart(const AwayHistory &history, const PoolId &pool);

// A latency histogram as inline SVG, or a sentence if there are no requests.
std::string latencyChart(std::string_view title, std::span<const LatencyBin> bins);

}  // namespace poplarstream::console
