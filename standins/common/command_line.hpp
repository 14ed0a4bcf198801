#pragma once

#include <map>  // for map
#include <string>  // for string
#include <vector>  // for vector

namespace poplarstream::standins {

// A command-line option that takes a value. An empty fallback makes the option required; "-" makes
// it optional with an empty default.
struct Option
{
    std::string name;
    std::string fallback;
    std::string help;
};

// Option values by name.
using Options = std::map<std::string, std::string>;

// Parses `--name value` pairs. Prints the usage and exits for `--help` (status 0) and for unknown,
// incomplete or missing options (status 2).
Options parseCommandLine(int argc, char **argv, const std::string &purpose,
                         const std::vector<Option> &options);

// Returns an option as a number. Prints an error and exits with status 2 if it is not a number.
double numberOption(const Options &options, const std::string &name);

}  // namespace poplarstream::standins
