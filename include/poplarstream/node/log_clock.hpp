#pragma once

#include <optional>  // for optional

#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint

namespace poplarstream {

// Estimates the log time from the local monotonic clock. Leases expire by log time, and the wall
// clocks of entry hosts may differ from it and jump.
//
// The log timestamps a record of this process between sending the append and reading it back. This
// bounds the clock difference from both sides; the most recent bounds are kept.
struct LogClock
{
    std::optional<Milliseconds> maxDifference;  // upper bound of log time minus local time
    std::optional<Milliseconds> minDifference;  // lower bound
};

// Records the timestamp of an own record. `sent` and `readBack` are local times.
void observeOwnRecord(LogClock &clock, TimePoint sent, TimePoint readBack, TimePoint logTime);

// Records the timestamp of a record of another process. It bounds the log time only from below.
void observeRecord(LogClock &clock, TimePoint readBack, TimePoint logTime);

// The upper bound of the log time. A lease holder uses it so that it stops acting too early rather
// than too late. Falls back to the local time before the first own record.
TimePoint latestLogTime(const LogClock &clock, TimePoint local);

// The lower bound of the log time. Used before taking over a lease from another process.
TimePoint earliestLogTime(const LogClock &clock, TimePoint local);

}  // namespace poplarstream
