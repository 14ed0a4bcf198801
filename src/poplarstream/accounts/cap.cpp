#include "poplarstream/accounts/cap.hpp"

#include <algorithm>  // for all_of
#include <array>  // for array
#include <cstdint>  // for int64_t
#include <iterator>  // for back_inserter
#include <limits>  // for numeric_limits
#include <string_view>  // for string_view

#include <fmt/format.h>  // for format

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

using Amount = std::int64_t jobs::Resources::*;
constexpr std::array<Amount, 3> amounts = {&jobs::Resources::cpuMilli, &jobs::Resources::memoryMb,
                                           &jobs::Resources::gpus};

// Whether `predicate` holds for each resource of which something is needed. What runs may exceed
// the limit of another one, after it has dropped.
template <class Predicate>
bool holdsForEach(const jobs::Resources &need, Predicate predicate)
{
    return std::all_of(amounts.begin(), amounts.end(),
                       [&](Amount amount) { return need.*amount == 0 || predicate(amount); });
}

std::int64_t raised(std::int64_t limit, double overshoot)
{
    return limit == unlimited
                   ? unlimited
                   : limit + static_cast<std::int64_t>(static_cast<double>(limit) * overshoot);
}

// Whether the owner has all of the resource, so that no other owner starts anything that needs it.
bool holdsAll(const OwnedCap &cap, Amount amount)
{
    return cap.limits.*amount >= cap.whole.*amount;
}

// Whether `use` passes the limit no further than it may. An owner of all of the resource may pass
// it by one task more.
bool isWithinOvershoot(const OwnedCap &cap, Amount amount, std::int64_t use,
                       const jobs::Resources &need)
{
    const std::int64_t oneTask = holdsAll(cap, amount) ? need.*amount : 0;
    return use - oneTask <= raised(cap.limits.*amount, cap.overshoot);
}

jobs::Resources timesCount(jobs::Resources need, int count)
{
    for (const Amount amount : amounts) {
        need.*amount *= count;
    }
    return need;
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

bool mayStart(const OwnedCap &cap, const jobs::Resources &use, const jobs::Resources &need)
{
    return holdsForEach(need, [&](Amount amount) {
        const std::int64_t limit = cap.limits.*amount;
        const std::int64_t after = use.*amount + need.*amount;
        return after <= limit
               || (use.*amount * 2 < limit && isWithinOvershoot(cap, amount, after, need));
    });
}

bool mayStartGang(const OwnedCap &cap, const jobs::Resources &use, const jobs::Resources &need,
                  int members)
{
    jobs::Resources after = timesCount(need, members);
    const bool isIdle = use == jobs::Resources{};
    after += use;
    return holdsForEach(need, [&](Amount amount) {
        return after.*amount <= cap.limits.*amount
               || (isIdle && isWithinOvershoot(cap, amount, after.*amount, need));
    });
}

bool canGangFit(const OwnedCap &cap, const jobs::Resources &lasting, const jobs::Resources &need,
                int members)
{
    return mayStartGang({cap.whole, cap.whole, cap.overshoot}, lasting, need, members);
}

bool maySendStart(const OwnedCap &cap, const jobs::Resources &use, const jobs::Resources &need)
{
    return holdsForEach(
            need, [&](Amount amount) { return isWithinOvershoot(cap, amount, use.*amount, need); });
}

std::string capText(const jobs::Resources &use, const jobs::Resources &limits)
{
    std::string text;
    const auto append = [&](std::string_view unit, Amount amount) {
        if (limits.*amount != unlimited) {
            fmt::format_to(std::back_inserter(text), " used_{0}={1} limit_{0}={2}", unit,
                           use.*amount, limits.*amount);
        }
    };
    append("milli", &jobs::Resources::cpuMilli);
    append("mb", &jobs::Resources::memoryMb);
    append("gpus", &jobs::Resources::gpus);
    return text;
}

}  // namespace poplarstream::accounts
