#pragma once

#include "poplarstream/maintenance/wave_step.hpp"  // for StepInput, StepOutput

namespace poplarstream::maintenance {

// Advances the absence of one host that is not in service. `observation` may be null.
void stepAbsence(const StepInput &input, const HostView &host, const HostObservation *observation,
                 bool isInFlight, StepOutput &output);

}  // namespace poplarstream::maintenance
