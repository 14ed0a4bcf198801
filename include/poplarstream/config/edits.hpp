#pragma once

#include <span>  // for span
#include <vector>  // for vector

#include "poplarstream/config/ini.hpp"  // for ParsedDocument, ConfigDocument
#include "poplarstream/records/control_record.hpp"  // for ConfigEdit

namespace poplarstream {

// Returns the edits that turn `from` into `to`, ordered by section and key:
// applyEdits(from, difference(from, to)).document == to.
std::vector<ConfigEdit> difference(const ConfigDocument &from, const ConfigDocument &to);

// Applies the edits in order. Removing a missing key or section, and setting text that INI cannot
// represent, are errors. A section that loses its last key is removed. The errors concern only the
// edits; readConfiguration checks whether the result is a valid configuration.
ParsedDocument applyEdits(const ConfigDocument &document, std::span<const ConfigEdit> edits);

}  // namespace poplarstream
