#include "poplarstream/ownership/shard_claims.hpp"

#include <algorithm>  // for count

namespace poplarstream::ownership {

double shareForShard(double processorShare, const std::vector<bool> &held, int shard)
{
    const bool isHeld = held.at(static_cast<std::size_t>(shard));
    const auto others = std::count(held.begin(), isHeld ? held.begin() + shard : held.end(), true);
    return processorShare / static_cast<double>(1 + others);
}

}  // namespace poplarstream::ownership
