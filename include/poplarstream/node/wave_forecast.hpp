#pragma once

#include "poplarstream/config/document.hpp"  // for ConfigDocument
#include "poplarstream/console/forecast.hpp"  // for Forecast
#include "poplarstream/node/wave_view.hpp"  // for PoolDemands, FleetView

namespace poplarstream {

// Forecasts the cost of the running waves if the document came into force at `logTime`. The replay
// itself decides, on a copy of the state, whether the change would be granted.
console::Forecast forecastWaves(const FleetState &state, const ConfigDocument &document,
                                const PoolDemands &demands, const maintenance::Policy &policy,
                                TimePoint logTime);

}  // namespace poplarstream
