#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <string_view>  // for string_view

#include <nlohmann/json.hpp>  // for json

namespace poplarstream {

// Parses untrusted text. Empty for invalid JSON and for values nested deeper than 64 levels, since
// serializing a deeply nested value recurses and would exhaust the stack.
std::optional<nlohmann::json> parseBoundedJson(std::string_view text);

// The same for MessagePack, whose parser is recursive as well.
std::optional<nlohmann::json> parseBoundedMessagePack(std::span<const std::uint8_t> bytes);

}  // namespace poplarstream
