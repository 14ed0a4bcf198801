#include "poplarstream/edge/store_health.hpp"

namespace poplarstream::edge {

namespace {

// A normal call takes a few milliseconds.
constexpr Milliseconds slowCall{300};
// How long after a failed or slow call the next ones are expected to fail, too.
constexpr Milliseconds degradedPeriod{2000};

}  // namespace

void StoreHealth::end(TimePoint sentAt, bool isStored, TimePoint now)
{
    if (const auto found = inFlight_.find(sentAt); found != inFlight_.end()) {
        inFlight_.erase(found);
    }
    if (!isStored || now - sentAt > slowCall) {
        degradedUntil_ = now + degradedPeriod;
    }
}

bool StoreHealth::isDegraded(TimePoint now) const
{
    return now < degradedUntil_ || (!inFlight_.empty() && now - *inFlight_.begin() > slowCall);
}

}  // namespace poplarstream::edge
