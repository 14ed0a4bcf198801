#pragma once

#include <span>  // for span

#include "poplarstream/config/configuration.hpp"  // for Configuration
#include "poplarstream/config/document.hpp"  // for ConfigDocument, SectionId
#include "poplarstream/config/fault.hpp"  // for ConfigFaults

namespace poplarstream {

// The typed form of a document and everything that is wrong with it, ordered by section and key.
// With faults, the configuration must not be used.
struct ReadConfiguration
{
    Configuration configuration;
    ConfigFaults faults;
};

// Reads all sections and checks each value and the references between sections.
ReadConfiguration readConfiguration(const ConfigDocument &document);

// The same result as readConfiguration(document), for a document that differs from the one that
// `before` was read from without faults only in the `changed` sections. Reads only those sections
// and repeats only the checks between sections that they can affect. A budget that moves have made
// larger than its pool may stand in `before`, and is reported again.
ReadConfiguration readChanged(const Configuration &before, const ConfigDocument &document,
                              std::span<const SectionId> changed);

}  // namespace poplarstream
