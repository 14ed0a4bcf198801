#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/config/config_error.hpp"  // for ConfigErrors
#include "poplarstream/config/document.hpp"  // for ConfigDocument

namespace poplarstream {

// A document read from text. With errors, the document holds what could be read and must not be
// used.
struct ParsedDocument
{
    ConfigDocument document;
    ConfigErrors errors;
};

// Reads INI text of any bytes. A line that is no section, entry or comment, a duplicate key or
// section, an entry outside of a section and a control character are errors. Reading stops at the
// first line that breaks the syntax; other errors are all listed. Comments are not kept.
ParsedDocument parseDocument(std::string_view text);

// The INI text of the document. For a document from parseDocument or applyEdits,
// parseDocument(formatDocument(d)).document == d.
std::string formatDocument(const ConfigDocument &document);

// What stops the heading, key or value from being written as INI; empty if nothing does.
std::string headingProblem(std::string_view heading);
std::string keyProblem(std::string_view key);
std::string valueProblem(std::string_view value);

}  // namespace poplarstream
