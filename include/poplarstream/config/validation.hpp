#pragma once

#include <span>  // for span

#include "poplarstream/config/config_error.hpp"  // for ConfigErrors
#include "poplarstream/config/configuration.hpp"  // for Configuration
#include "poplarstream/config/document.hpp"  // for ConfigDocument, SectionId

namespace poplarstream {

// The typed form of a document and everything that is wrong with it, ordered by section and key.
// With errors, the configuration must not be used.
struct ReadConfiguration
{
    Configuration configuration;
    ConfigErrors errors;
};

// Reads all sections and checks each value and the references between sections.
ReadConfiguration readConfiguration(const ConfigDocument &document);

// The same result as readConfiguration(document), for a document that differs from the one that
// `before` was read from without errors only in the `changed` sections. Reads only those sections
// and repeats only the checks between sections that they can affect. A budget that moves have made
// larger than its pool may stand in `before`, and is reported again.
ReadConfiguration readChanged(const Configuration &before, const ConfigDocument &document,
                              std::span<const SectionId> changed);

}  // namespace poplarstream
