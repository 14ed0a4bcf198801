#include "poplarstream/node/log_clock.hpp"

#include <algorithm>  // for max

namespace poplarstream {

void observeOwnRecord(LogClock &clock, TimePoint sent, TimePoint readBack, TimePoint logTime)
{
    clock.maxDifference = logTime - sent;
    clock.minDifference = logTime - readBack;
}

void observeRecord(LogClock &clock, TimePoint readBack, TimePoint logTime)
{
    const Milliseconds difference = logTime - readBack;
    clock.minDifference =
            clock.minDifference ? std::max(*clock.minDifference, difference) : difference;
    // A lower bound above the upper bound means that the log's clock was set forward.
    if (clock.maxDifference && *clock.maxDifference < *clock.minDifference) {
        clock.maxDifference = clock.minDifference;
    }
}

TimePoint latestLogTime(const LogClock &clock, TimePoint local)
{
    return clock.maxDifference ? local + *clock.maxDifference : local;
}

TimePoint earliestLogTime(const LogClock &clock, TimePoint local)
{
    return clock.minDifference ? local + *clock.minDifference : local;
}

}  // namespace poplarstream
