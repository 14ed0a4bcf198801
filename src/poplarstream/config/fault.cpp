#include "poplarstream/config/fault.hpp"

#include <algorithm>  // for min

#include <fmt/format.h>  // for format

namespace poplarstream {

std::string describe(const ConfigFault &fault)
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

std::string describe(const ConfigFaults &faults, std::size_t most)
{
    std::string text;
    const std::size_t shown = std::min(most, faults.size());
    for (std::size_t i = 0; i < shown; ++i) {
        text += (i == 0 ? "" : "; ") + describe(faults[i]);
    }
    if (shown < faults.size()) {
        text += fmt::format("; and {} more", faults.size() - shown);
    }
    return text;
}

}  // namespace poplarstream
