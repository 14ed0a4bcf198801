#pragma once

#include <chrono>  // for steady_clock, system_clock

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream {

// The local time that the duties pass to the decisions: the wall clock at the start of the process,
// carried on by the monotonic clock. It never goes back, also when the wall clock is set.
class ProcessClock
{
public:
    TimePoint now() const
    {
        const Origin &start = origin();
        const auto elapsed = std::chrono::steady_clock::now() - start.steady;
        return TimePoint{start.wall + std::chrono::duration_cast<Milliseconds>(elapsed)};
    }

private:
    struct Origin
    {
        Milliseconds wall = std::chrono::duration_cast<Milliseconds>(
                std::chrono::system_clock::now().time_since_epoch());
        std::chrono::steady_clock::time_point steady = std::chrono::steady_clock::now();
    };

    // One for the process: two clocks with origins of their own differed by up to a millisecond,
    // more when the process was paused between the two readings.
    static const Origin &origin()
    {
        static const Origin start;
        return start;
    }
};

}  // namespace poplarstream
