#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

namespace poplarstream::console {

// `text` of any bytes as HTML, for element content and for attribute values in double quotes.
// Control characters other than tab and line feed, and bytes that are no UTF-8, become U+FFFD.
std::string escapeHtml(std::string_view text);

// `text` as one part of a URL path or query: everything but unreserved characters is
// percent-encoded.
std::string encodeUrl(std::string_view text);

// The inverse of encodeUrl, with '+' read as a space. Broken escapes are kept as they stand.
std::string decodeUrl(std::string_view text);

}  // namespace poplarstream::console
