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
    std::uint32_t mostAway = 0;  // maximum at once, including those away now
};

struct BlockedForecast
{
    HostId host;
    std::string reason;
};

// The predicted cost of the running waves under a document. A non-empty `refusal` is the reason why
// the replayed state would refuse the change; the forecast is then empty.
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
