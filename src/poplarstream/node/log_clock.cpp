#include "poplarstream/node/log_clock.hpp"

#include <algorithm>  // for max

namespace poplarstream {

void observeOwnRecord(LogClock &clock, TimePoint sent, TimePoint readBack, TimePoint logTime)
{
    clock.latestDifference = logTime - sent;
    clock.earliestDifference = logTime - readBack;
}

void observeRecord(LogClock &clock, TimePoint readBack, TimePoint logTime)
{
    const Milliseconds difference = logTime - readBack;
    clock.earliestDifference =
            clock.earliestDifference ? std::max(*clock.earliestDifference, difference) : difference;
    // A lower bound above the upper one means that the log's clock was set forward.
    if (clock.latestDifference && *clock.latestDifference < *clock.earliestDifference) {
        clock.latestDifference = clock.earliestDifference;
    }
}

TimePoint latestLogTime(const LogClock &clock, TimePoint local)
{
    return clock.latestDifference ? local + *clock.latestDifference : local;
}

TimePoint earliestLogTime(const LogClock &clock, TimePoint local)
{
    return clock.earliestDifference ? local + *clock.earliestDifference : local;
}

}  // namespace poplarstream
