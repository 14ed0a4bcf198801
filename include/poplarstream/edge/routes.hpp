#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <string_view>  // for string_view

#include "poplarstream/edge/ports.hpp"  // for Route

namespace poplarstream::edge {

// The route of a host whose prefix is the longest that the path begins with, or null. The port of
// `host` and the case of its letters are ignored.
const Route *findRoute(std::span<const Route> routes, std::string_view host, std::string_view path);

// A job id is 16 hexadecimal digits.
std::optional<jobs::JobId> jobIdFrom(std::string_view text);

}  // namespace poplarstream::edge
