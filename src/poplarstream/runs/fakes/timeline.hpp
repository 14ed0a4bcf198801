#pragma once

#include <cstdint>  // for uint64_t
#include <functional>  // for function
#include <map>  // for map

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream::fakes {

// A virtual clock that runs actions in the order of their times. Actions with the same time run in
// the order in which they were scheduled.
class Timeline
{
public:
    TimePoint now() const { return now_; }
    void at(TimePoint time, std::function<void()> action)
    {
        actions_.emplace(std::max(time, now_), std::move(action));
    }
    void after(Milliseconds delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }
    void runUntil(TimePoint end)
    {
        while (!actions_.empty() && actions_.begin()->first <= end) {
            auto node = actions_.extract(actions_.begin());
            now_ = node.key();
            node.mapped()();
        }
        now_ = end;
    }

private:
    TimePoint now_ = timePoint(1'000'000);
    std::multimap<TimePoint, std::function<void()>> actions_;
};

}  // namespace poplarstream::fakes
