#pragma once

#include <compare>  // for strong_ordering
#include <string>  // for string
#include <vector>  // for vector

namespace poplarstream {

// An error in one section or entry of a document. `section` is "kind name" as in the document.
// `key` is empty if the error concerns the whole section. `found` is empty if the value is missing
// or must not be shown (tokens).
struct ConfigError
{
    std::string section;
    std::string key;
    std::string expected;
    std::string found;

    // clang-tidy 14 mistakes the 0 in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const ConfigError &, const ConfigError &) = default;
};

using ConfigErrors = std::vector<ConfigError>;

// Formats the error as one line for an operator, for example
// `[pool p] max_away: expected a whole number from 0 to 100000, found "two"`.
std::string describe(const ConfigError &error);

// Formats the first `maxShown` errors, joined by "; ", followed by the number of the remaining
// ones.
std::string describe(const ConfigErrors &errors, std::size_t maxShown = 5);

}  // namespace poplarstream
