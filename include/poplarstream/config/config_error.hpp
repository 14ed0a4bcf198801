#pragma once

#include <compare>  // for strong_ordering
#include <string>  // for string
#include <vector>  // for vector

namespace poplarstream {

// What is wrong with one place of a document. `section` is "kind name" as in the document, `key` is
// empty when the section as a whole is at fault. `found` is empty when the value is missing or must
// not be shown (tokens).
struct ConfigError
{
    std::string section;
    std::string key;
    std::string expected;
    std::string found;

    // clang-tidy 14 takes the 0 in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const ConfigError &, const ConfigError &) = default;
};

using ConfigErrors = std::vector<ConfigError>;

// One line for an operator, for example
// `[pool p] max_away: expected a whole number from 0 to 100000, found "two"`.
std::string describe(const ConfigError &fault);

// At most `most` errors, joined by "; ", and the number of those left out.
std::string describe(const ConfigErrors &errors, std::size_t most = 5);

}  // namespace poplarstream
