#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <string_view>  // for string_view

#include "poplarstream/edge/ports.hpp"  // for Route

namespace poplarstream::edge {

// The route of `host` with the longest prefix of `path`, or null. Ignores the port and the case of
// `host`.
const Route *findRoute(std::span<const Route> routes, std::string_view host, std::string_view path);

// A job id is 16 hexadecimal digits.
std::optional<jobs::JobId> jobIdFrom(std::string_view text);

}  // namespace poplarstream::edge
