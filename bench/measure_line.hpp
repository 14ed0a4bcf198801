#pragma once

#include <cstdint>  // for uint64_t
#include <optional>  // for optional
#include <string>  // for string

namespace poplarstream::bench {

// One line of the output of scripts/measure. A line with a `promise` carries `checked` and
// `violations`; any other line carries a `quantity` with its figures. `target` is empty where the
// figure is only reported.
struct MeasureLine
{
    std::string caseName;
    std::string quantity;
    std::string unit;
    std::string better;  // "higher" or "lower"
    double naive = 0;
    double now = 0;
    std::optional<double> target;
    std::string promise;
    std::uint64_t checked = 0;
    std::uint64_t violations = 0;
    std::uint64_t seed = 0;
};

}  // namespace poplarstream::bench
