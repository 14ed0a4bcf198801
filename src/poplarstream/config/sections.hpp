#pragma once

#include "poplarstream/config/config_error.hpp"  // for ConfigErrors
#include "poplarstream/config/configuration.hpp"  // for Configuration
#include "poplarstream/config/document.hpp"  // for ConfigSection

namespace poplarstream {

// Reads one section into the configuration and replaces the row of the same name.
void readSection(const ConfigSection &section, Configuration &configuration, ConfigErrors &errors);

// Removes the row of a deleted section from the configuration.
void removeSection(const SectionId &id, Configuration &configuration);

}  // namespace poplarstream
