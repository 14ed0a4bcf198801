#pragma once

#include <chrono>  // for steady_clock, system_clock

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream {

// The local time that is passed to the decision modules: the wall-clock time at process start plus
// the time elapsed on the monotonic clock. It never goes back, even if the wall clock is set.
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

    // Shared by all clocks of the process. Separate origins would differ by up to a millisecond, or
    // by more if the process is paused between the two readings.
    static const Origin &origin()
    {
        static const Origin start;
        return start;
    }
};

}  // namespace poplarstream
