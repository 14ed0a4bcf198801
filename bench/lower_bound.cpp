#include "lower_bound.hpp"

#include <algorithm>  // for sort, max
#include <functional>  // for greater

namespace poplarstream::bench {

double rolloutLowerBound(const std::vector<NeededAbsence> &absences,
                         const std::map<std::string, std::uint32_t> &width)
{
    double bound = 0;
    for (const auto &[pool, slots] : width) {
        std::vector<double> lengths;
        double sum = 0;
        for (const NeededAbsence &absence : absences) {
            for (const std::string &used : absence.pools) {
                if (used == pool) {
                    lengths.push_back(absence.seconds);
                    sum += absence.seconds;
                }
            }
        }
        if (lengths.empty() || slots == 0) {
            continue;
        }
        std::sort(lengths.begin(), lengths.end(), std::greater<>());
        bound = std::max({bound, lengths.front(), sum / slots});
        for (std::size_t k = 1; k * slots < lengths.size(); ++k) {
            double shared = 0;
            for (std::size_t i = k * slots - k; i <= k * slots; ++i) {
                shared += lengths[i];
            }
            bound = std::max(bound, shared);
        }
    }
    return bound;
}

}  // namespace poplarstream::bench
