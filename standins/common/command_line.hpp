#pragma once

#include <map>  // for map
#include <string>  // for string
#include <vector>  // for vector

namespace poplarstream::standins {

// An option that takes a value. Options without a default are required; a default of "-" stands for
// an optional option that is empty unless given.
struct Option
{
    std::string name;
    std::string fallback;
    std::string help;
};

// The values of all options by name.
using Options = std::map<std::string, std::string>;

// Reads `--name value` pairs. Prints the usage and exits for `--help` (status 0) and for unknown,
// incomplete or missing options (status 2).
Options parseCommandLine(int argc, char **argv, const std::string &purpose,
                         const std::vector<Option> &options);

// A number option. Prints the fault and exits with status 2 when it is not one.
double number(const Options &options, const std::string &name);

}  // namespace poplarstream::standins
