#pragma once

#include "poplarstream/config/configuration.hpp"  // for Configuration
#include "poplarstream/config/document.hpp"  // for ConfigSection
#include "poplarstream/config/fault.hpp"  // for ConfigFaults

namespace poplarstream {

// Reads one section into the configuration, replacing the row of the same name.
void readSection(const ConfigSection &section, Configuration &configuration, ConfigFaults &faults);

// Takes the row of a section that no longer exists out of the configuration.
void forgetSection(const SectionId &id, Configuration &configuration);

}  // namespace poplarstream
