#include "poplarstream/config/suggest.hpp"

#include <algorithm>  // for min, min_element
#include <numeric>  // for iota
#include <vector>  // for vector

namespace poplarstream {

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

std::string_view nearestWord(std::string_view word, std::span<const std::string_view> known)
{
    // Longer words are no misspellings of a known one, and comparing them would be slow.
    constexpr std::size_t maxComparedLength = 64;
    const std::string_view compared = word.substr(0, maxComparedLength);
    return *std::min_element(known.begin(), known.end(),
                             [&](std::string_view a, std::string_view b) {
                                 return editDistance(compared, a) < editDistance(compared, b);
                             });
}

}  // namespace poplarstream
