#pragma once

#include "poplarstream/config/document.hpp"  // for ConfigDocument
#include "poplarstream/console/forecast.hpp"  // for Forecast
#include "poplarstream/node/wave_view.hpp"  // for PoolDemands, FleetView

namespace poplarstream {

// What the running waves would cost if the document were in force at `logTime`. Whether the change
// would be granted is decided by the replay itself, on a copy of the state.
console::Forecast forecastWaves(const FleetState &state, const ConfigDocument &document,
                                const PoolDemands &demands, const maintenance::Policy &policy,
                                TimePoint logTime);

}  // namespace poplarstream
