#include "poplarstream/config/config_error.hpp"

#include <algorithm>  // for min

#include <fmt/format.h>  // for format

namespace poplarstream {

std::string describe(const ConfigError &error)
{
    std::string text = fmt::format("[{}]", error.section);
    if (!error.key.empty()) {
        text += " " + error.key;
    }
    text += ": expected " + error.expected;
    if (!error.found.empty()) {
        text += fmt::format(", found \"{}\"", error.found);
    }
    return text;
}

std::string describe(const ConfigErrors &errors, std::size_t maxShown)
{
    std::string text;
    const std::size_t shown = std::min(maxShown, errors.size());
    for (std::size_t i = 0; i < shown; ++i) {
        text += (i == 0 ? "" : "; ") + describe(errors[i]);
    }
    if (shown < errors.size()) {
        text += fmt::format("; and {} more", errors.size() - shown);
    }
    return text;
}

}  // namespace poplarstream
