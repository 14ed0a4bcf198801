#pragma once

#include <cstdint>  // for uint64_t
#include <map>  // for map
#include <string>  // for string
#include <utility>  // for pair

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/engine/decision.hpp"  // for Decision

namespace poplarstream::edge {

// How events name a task; "-" if there is none.
std::string taskText(const jobs::TaskRef &task);

// Logs decisions as events, up to a maximum per second for planned and ended runs and the same for
// all other decisions. The number of suppressed events is logged, and the suppressed releases are
// summed up by worker and cause: a takeover may release hundreds of runs at once.
class DecisionLog
{
public:
    // How many more planned and ended runs may be written now.
    std::size_t allowance(TimePoint now) const;
    // Counts decisions that were not passed to write().
    void omit(std::size_t count) { suppressed_ += count; }

    void write(const engine::Decision &decision, TimePoint now);

    // Logs what was suppressed, once the second in which it was has passed.
    void advance(TimePoint now);

private:
    // Suppressed releases of runs of one worker with the same cause.
    struct ReleaseSum
    {
        int count = 0;
        int fromPreviousOwner = 0;
    };

    void writeReleaseSums();

    TimePoint windowStart_{};
    int frequentInWindow_ = 0;
    int othersInWindow_ = 0;
    std::uint64_t suppressed_ = 0;
    std::map<std::pair<jobs::WorkerId, engine::ReleaseCause>, ReleaseSum> releaseSums_;
};

}  // namespace poplarstream::edge
