#include "poplarstream/edge/store_health.hpp"

namespace poplarstream::edge {

namespace {

// The store and the way to it take a few milliseconds.
constexpr Milliseconds slow{300};
// How long a failed or slow call tells that the next one would be, too.
constexpr Milliseconds memory{2000};

}  // namespace

void StoreHealth::end(TimePoint sentAt, bool isStored, TimePoint now)
{
    if (const auto found = underWay_.find(sentAt); found != underWay_.end()) {
        underWay_.erase(found);
    }
    if (!isStored || now - sentAt > slow) {
        troubleUntil_ = now + memory;
    }
}

bool StoreHealth::isInTrouble(TimePoint now) const
{
    return now < troubleUntil_ || (!underWay_.empty() && now - *underWay_.begin() > slow);
}

}  // namespace poplarstream::edge
