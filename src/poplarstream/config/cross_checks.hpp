#pragma once

#include <bitset>  // for bitset

#include "poplarstream/config/config_error.hpp"  // for ConfigErrors
#include "poplarstream/config/configuration.hpp"  // for Configuration
#include "poplarstream/config/schema.hpp"  // for SectionKind

namespace poplarstream {

// A set of section kinds.
using KindSet = std::bitset<sectionKindCount>;

// Checks what no single section shows: references to other sections, addresses and tokens that are
// used twice, racks that span zones, budgets larger than their pools, more than one spare pool.
//
// Only the checks that involve one of the `touched` kinds of sections are made. Budgets are always
// checked, since moves change them without a change of the configuration.
void checkReferences(const Configuration &configuration, KindSet touched, ConfigErrors &errors);

}  // namespace poplarstream
