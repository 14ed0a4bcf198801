#include "poplarstream/config/config_error.hpp"

#include <algorithm>  // for min

#include <fmt/format.h>  // for format

namespace poplarstream {

std::string describe(const ConfigError &fault)
{
    std::string text = fmt::format("[{}]", fault.section);
    if (!fault.key.empty()) {
        text += " " + fault.key;
    }
    text += ": expected " + fault.expected;
    if (!fault.found.empty()) {
        text += fmt::format(", found \"{}\"", fault.found);
    }
    return text;
}

std::string describe(const ConfigErrors &errors, std::size_t most)
{
    std::string text;
    const std::size_t shown = std::min(most, errors.size());
    for (std::size_t i = 0; i < shown; ++i) {
        text += (i == 0 ? "" : "; ") + describe(errors[i]);
    }
    if (shown < errors.size()) {
        text += fmt::format("; and {} more", errors.size() - shown);
    }
    return text;
}

}  // namespace poplarstream
