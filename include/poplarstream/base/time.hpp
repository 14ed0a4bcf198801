#pragma once

#include <chrono>  // for milliseconds, time_point
#include <cstdint>  // for int64_t

namespace poplarstream {

using Milliseconds = std::chrono::milliseconds;

// The clock for all decisions. It has no now(): the caller passes the time in, so that a decision
// has the same result in tests, during replay and in the running program.
struct LogicalClock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = Milliseconds;
    using time_point = std::chrono::time_point<LogicalClock>;
    static constexpr bool is_steady = true;
};

using TimePoint = LogicalClock::time_point;

constexpr TimePoint timePoint(std::int64_t millisecondsSinceEpoch)
{
    return TimePoint{Milliseconds{millisecondsSinceEpoch}};
}

constexpr std::int64_t millisecondsSinceEpoch(TimePoint time)
{
    return time.time_since_epoch().count();
}

}  // namespace poplarstream
