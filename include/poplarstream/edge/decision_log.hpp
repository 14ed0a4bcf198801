#pragma once

#include <cstdint>  // for uint64_t
#include <string>  // for string

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/engine/decision.hpp"  // for Decision

namespace poplarstream::edge {

// How events name a task; "-" stands for none.
std::string taskText(const jobs::TaskRef &task);

// Writes decisions as events, at most so many a second; what is left out is counted and said.
class DecisionLog
{
public:
    void write(const engine::Decision &decision, TimePoint now);

private:
    bool mayWrite(TimePoint now);

    TimePoint second_{};  // begin of the second that is counted
    int written_ = 0;
    std::uint64_t suppressed_ = 0;
};

}  // namespace poplarstream::edge
