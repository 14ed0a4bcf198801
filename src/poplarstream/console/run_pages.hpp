#pragma once

#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/console/state_pages.hpp"  // for StateView

namespace poplarstream::console {

std::string runsPage(const StateView &view, const Form &query);
std::optional<std::string> runPage(const StateView &view, std::string_view id);
std::string tenantsPage(const StateView &view, const Form &query);
std::optional<std::string> tenantPage(const StateView &view, std::string_view id);

// The filter form of a list, and the links to its previous and next pages.
std::string listFilter(std::string_view path, std::string_view filter);
std::string listLinks(std::string_view path, std::string_view filter, const ListRange &range);

// An HTML list of escaped lines.
std::string bulletList(const std::vector<std::string> &lines);

}  // namespace poplarstream::console
