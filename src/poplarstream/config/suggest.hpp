#pragma once

#include <span>  // for span
#include <string_view>  // for string_view

namespace poplarstream {

// The minimum number of inserted, removed and replaced characters (Levenshtein, 1966).
std::size_t editDistance(std::string_view a, std::string_view b);

// The known word with the smallest edit distance; the first one on a tie. `known` must not be
// empty.
std::string_view nearestWord(std::string_view word, std::span<const std::string_view> known);

}  // namespace poplarstream
