#pragma once

#include "poplarstream/config/config_error.hpp"  // for ConfigErrors
#include "poplarstream/config/configuration.hpp"  // for Configuration
#include "poplarstream/config/document.hpp"  // for ConfigSection

namespace poplarstream {

// Reads one section into the configuration, replacing the row of the same name.
void readSection(const ConfigSection &section, Configuration &configuration, ConfigErrors &errors);

// Takes the row of a section that no longer exists out of the configuration.
void forgetSection(const SectionId &id, Configuration &configuration);

}  // namespace poplarstream
