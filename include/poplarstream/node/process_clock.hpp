#pragma once

#include <chrono>  // for steady_clock, system_clock

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream {

// The local time that the duties pass to the decisions: the wall clock at the start of the process,
// carried on by the monotonic clock. It never goes back, also when the wall clock is set.
class ProcessClock
{
public:
    ProcessClock()
        : startWall_(std::chrono::duration_cast<Milliseconds>(
                std::chrono::system_clock::now().time_since_epoch()))
        , startSteady_(std::chrono::steady_clock::now())
    {}

    TimePoint now() const
    {
        const auto elapsed = std::chrono::steady_clock::now() - startSteady_;
        return TimePoint{startWall_ + std::chrono::duration_cast<Milliseconds>(elapsed)};
    }

private:
    Milliseconds startWall_;
    std::chrono::steady_clock::time_point startSteady_;
};

}  // namespace poplarstream
