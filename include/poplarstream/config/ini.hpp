#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/config/config_error.hpp"  // for ConfigErrors
#include "poplarstream/config/document.hpp"  // for ConfigDocument

namespace poplarstream {

// The result of reading a document. If there are errors, the document holds only what could be read
// and must not be used.
struct ParsedDocument
{
    ConfigDocument document;
    ConfigErrors errors;
};

// Parses INI text, which may contain arbitrary bytes. A line that is neither a section, an entry
// nor a comment, a duplicate key or section, an entry outside of a section, and a control character
// are errors. Parsing stops at the first syntax error; all other errors are collected. Comments are
// dropped.
ParsedDocument parseDocument(std::string_view text);

// Formats the document as INI text. For a document from parseDocument or applyEdits,
// parseDocument(formatDocument(d)).document == d.
std::string formatDocument(const ConfigDocument &document);

// Check that a heading, key or value can be written as INI. Return what was expected instead, or an
// empty string if the text is valid.
std::string checkHeading(std::string_view heading);
std::string checkKey(std::string_view key);
std::string checkValue(std::string_view value);

}  // namespace poplarstream
