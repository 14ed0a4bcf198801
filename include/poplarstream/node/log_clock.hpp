#pragma once

#include <optional>  // for optional

#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint

namespace poplarstream {

// Estimates the log's time from this process's monotonic clock. Leases are judged by the log's
// time, and the clocks of entry hosts may differ from it and jump.
//
// A record that this process appended was given its log time between the moment the append was sent
// and the moment it was read back. That bounds the difference of the clocks from both sides; the
// newest bounds are kept.
struct LogClock
{
    std::optional<Milliseconds> latestDifference;  // upper bound of log time minus local time
    std::optional<Milliseconds> earliestDifference;  // lower bound
};

// Notes an own record. `sent` and `readBack` are local times, `logTime` is the record's.
void observeOwnRecord(LogClock &clock, TimePoint sent, TimePoint readBack, TimePoint logTime);

// Notes a record of another process; it only bounds the log's time from below.
void observeRecord(LogClock &clock, TimePoint readBack, TimePoint logTime);

// The latest that the log's time can be. A holder of a lease uses it, so that it stops acting too
// early rather than too late. Falls back to the local time before the first own record.
TimePoint latestLogTime(const LogClock &clock, TimePoint local);

// The earliest that the log's time can be. Used before taking over from somebody else.
TimePoint earliestLogTime(const LogClock &clock, TimePoint local);

}  // namespace poplarstream
