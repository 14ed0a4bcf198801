#pragma once

#include <bitset>  // for bitset

#include "poplarstream/config/config_error.hpp"  // for ConfigErrors
#include "poplarstream/config/configuration.hpp"  // for Configuration
#include "poplarstream/config/schema.hpp"  // for SectionKind

namespace poplarstream {

using SectionKindSet = std::bitset<sectionKindCount>;

// Checks the rules that span sections: references to other sections, duplicate addresses and
// tokens, racks that span zones, budgets larger than their pools, and more than one spare pool.
//
// Only the checks that involve a `touched` kind of section are made. Budgets are always checked,
// since moves change the size of a pool without a change of the configuration.
void checkReferences(const Configuration &configuration, SectionKindSet touched,
                     ConfigErrors &errors);

}  // namespace poplarstream
