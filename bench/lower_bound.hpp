#pragma once

#include <cstdint>  // for uint32_t
#include <map>  // for map
#include <string>  // for string
#include <vector>  // for vector

namespace poplarstream::bench {

// An absence that a wave cannot avoid: its length in seconds and the pools whose budget it uses.
struct NeededAbsence
{
    double seconds = 0;
    std::vector<std::string> pools;
};

// The shortest roll-out in seconds that the budgets allow, from below. `width` is how many hosts of
// each pool may be away at once. For each pool alone, with absences p1 >= p2 >= ... and width m:
// the longest, the mean load of a slot, and for each k the sum of p(km+1-k) ... p(km+1), since of
// the km+1 longest absences some k+1 share a slot.
double rolloutLowerBound(const std::vector<NeededAbsence> &absences,
                         const std::map<std::string, std::uint32_t> &width);

}  // namespace poplarstream::bench
