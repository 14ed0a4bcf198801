#include "poplarstream/accounts/cap.hpp"

#include <cstdint>  // for int64_t
#include <limits>  // for numeric_limits

namespace poplarstream::accounts {

namespace {

constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();

std::int64_t limitOf(std::int64_t cap)
{
    return cap == 0 ? unlimited : cap;
}

std::int64_t partOf(std::int64_t limit, int shard, int shards)
{
    return limit == unlimited ? unlimited : limit / shards + (shard < limit % shards ? 1 : 0);
}

}  // namespace

jobs::Resources limitsOf(const jobs::Resources &cap)
{
    return {limitOf(cap.cpuMilli), limitOf(cap.memoryMb), limitOf(cap.gpus)};
}

jobs::Resources equalPart(const jobs::Resources &limits, int shard, int shards)
{
    return {partOf(limits.cpuMilli, shard, shards), partOf(limits.memoryMb, shard, shards),
            partOf(limits.gpus, shard, shards)};
}

}  // namespace poplarstream::accounts
