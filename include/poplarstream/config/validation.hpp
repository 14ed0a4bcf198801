#pragma once

#include <span>  // for span

#include "poplarstream/config/config_error.hpp"  // for ConfigErrors
#include "poplarstream/config/configuration.hpp"  // for Configuration
#include "poplarstream/config/document.hpp"  // for ConfigDocument, SectionId

namespace poplarstream {

// The typed form of a document and all its errors, ordered by section and key. If there are errors,
// the configuration must not be used.
struct ConfigurationResult
{
    Configuration configuration;
    ConfigErrors errors;
};

// Reads all sections and validates each value and the references between sections.
ConfigurationResult readConfiguration(const ConfigDocument &document);

// Returns the same result as readConfiguration(document), for a document that differs only in the
// `changed` sections from the one that `before` was read from without errors. Reads only those
// sections and repeats only the cross-section checks that they can affect. `before` may contain a
// budget that exceeds its pool because hosts have moved; this is reported again.
ConfigurationResult readChangedSections(const Configuration &before, const ConfigDocument &document,
                                        std::span<const SectionId> changed);

}  // namespace poplarstream
