#pragma once

#include <cstdint>  // for uint32_t
#include <functional>  // for function
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for HostId, PoolId
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/config/document.hpp"  // for ConfigDocument

namespace poplarstream::console {

struct PoolForecast
{
    PoolId pool;
    std::uint32_t hosts = 0;
    std::uint32_t maxAway = 0;
    std::uint32_t mostAway = 0;  // at once, with those away already
};

struct BlockedForecast
{
    HostId host;
    std::string reason;
};

// What the running waves would cost under a document. `refusal` is why the change would be refused
// by the replayed state, and then there is no forecast.
struct Forecast
{
    std::string refusal;
    std::vector<PoolForecast> pools;
    std::vector<BlockedForecast> blocked;
    Milliseconds rollout{0};
    std::uint32_t absences = 0;
    std::uint32_t moves = 0;
};

// Computes the forecast for a valid document.
using Forecaster = std::function<Forecast(const ConfigDocument &)>;

}  // namespace poplarstream::console
