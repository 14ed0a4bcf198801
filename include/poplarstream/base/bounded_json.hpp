#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <string_view>  // for string_view

#include <nlohmann/json.hpp>  // for json

namespace poplarstream {

// The deepest nesting of arrays and objects that is accepted in text or bytes that another process
// wrote. Copying, comparing and serializing a document recurse, so a document of some 150,000
// levels, which fits into 300 kB, exhausts the stack. Documents of the interfaces have at most ten.
inline constexpr int maxJsonDepth = 64;

// Parses untrusted text. Empty for invalid JSON and for values nested deeper than `maxJsonDepth`.
std::optional<nlohmann::json> parseBoundedJson(std::string_view text);

// As above, but throws an exception that names the fault.
nlohmann::json parseBoundedJsonOrThrow(std::string_view text);

// The same as parseBoundedJson for MessagePack, whose parser is recursive as well.
std::optional<nlohmann::json> parseBoundedMessagePack(std::span<const std::uint8_t> bytes);

}  // namespace poplarstream
