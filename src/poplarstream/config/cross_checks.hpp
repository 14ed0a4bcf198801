#pragma once

#include "poplarstream/config/configuration.hpp"  // for Configuration
#include "poplarstream/config/fault.hpp"  // for ConfigFaults

namespace poplarstream {

// Checks what no single section shows: references to other sections, addresses and tokens that are
// used twice, racks that span zones, budgets larger than their pools, more than one spare pool.
void checkReferences(const Configuration &configuration, ConfigFaults &faults);

}  // namespace poplarstream
