#pragma once

#include <cstdint>  // for uint64_t
#include <string>  // for string

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/engine/decision.hpp"  // for Decision

namespace poplarstream::edge {

// How events name a task; "-" if there is none.
std::string taskText(const jobs::TaskRef &task);

// Logs decisions as events, up to a maximum per second for planned and ended runs and the same for
// all other decisions. The number of suppressed events is logged.
class DecisionLog
{
public:
    // How many more planned and ended runs may be written now.
    std::size_t allowance(TimePoint now) const;
    // Counts decisions that were not passed to write().
    void omit(std::size_t count) { suppressed_ += count; }

    void write(const engine::Decision &decision, TimePoint now);

private:
    bool mayWrite(engine::DecisionKind kind, TimePoint now);

    TimePoint windowStart_{};
    int frequentInWindow_ = 0;
    int othersInWindow_ = 0;
    std::uint64_t suppressed_ = 0;
};

}  // namespace poplarstream::edge
