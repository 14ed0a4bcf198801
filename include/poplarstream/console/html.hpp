#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

namespace poplarstream::console {

// Escapes arbitrary bytes for HTML element content and double-quoted attribute values. Control
// characters other than tab and line feed, and invalid UTF-8, become U+FFFD.
std::string escapeHtml(std::string_view text);

// Percent-encodes everything but unreserved characters, for one component of a URL path or query.
std::string encodeUrl(std::string_view text);

// The inverse of encodeUrl, with '+' decoded as a space. Malformed escapes are left unchanged.
std::string decodeUrl(std::string_view text);

}  // namespace poplarstream::console
