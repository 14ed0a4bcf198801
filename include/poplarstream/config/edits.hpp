#pragma once

#include <span>  // for span
#include <vector>  // for vector

#include "poplarstream/config/ini.hpp"  // for ParsedDocument, ConfigDocument
#include "poplarstream/records/control_record.hpp"  // for ConfigEdit

namespace poplarstream {

// The edits that turn `from` into `to`, in the order of the sections and keys:
// applyEdits(from, difference(from, to)).document == to.
std::vector<ConfigEdit> difference(const ConfigDocument &from, const ConfigDocument &to);

// Applies the edits in order. The removal of a key or section that is not there, and a text that
// INI can not hold, are errors. A section that loses its last key is removed. The errors concern
// only the edits; whether the result is a valid configuration is for readConfiguration to say.
ParsedDocument applyEdits(const ConfigDocument &document, std::span<const ConfigEdit> edits);

}  // namespace poplarstream
