#pragma once

#include <set>  // for multiset

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream::edge {

// Judges from the append calls of this process whether its connection to the store works.
class StoreHealth
{
public:
    void begin(TimePoint now) { inFlight_.insert(now); }
    // The call that began at `sentAt` has ended.
    void end(TimePoint sentAt, bool isStored, TimePoint now);

    // Whether a recent call failed or was slow, or a call in flight is slow.
    bool isDegraded(TimePoint now) const;

private:
    std::multiset<TimePoint> inFlight_;  // start times
    TimePoint degradedUntil_{};
};

}  // namespace poplarstream::edge
