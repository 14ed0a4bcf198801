#pragma once

#include <set>  // for multiset

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream::edge {

// Whether this process gets its appends through to the store, told from its own calls.
class StoreHealth
{
public:
    void begin(TimePoint now) { underWay_.insert(now); }
    // A call that was begun at `sentAt` has ended.
    void end(TimePoint sentAt, bool isStored, TimePoint now);

    // Whether a call has failed or was slow lately, or is under way for too long.
    bool isInTrouble(TimePoint now) const;

private:
    std::multiset<TimePoint> underWay_;  // when they were sent
    TimePoint troubleUntil_{};
};

}  // namespace poplarstream::edge
