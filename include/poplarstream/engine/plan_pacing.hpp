#pragma once

#include <chrono>  // for microseconds

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream::engine {

// When the next plan may be made. Under overload, when many jobs wait and a plan takes long,
// completions, cancellations and lease renewals must not wait behind plans.
struct PlanPacing
{
    Milliseconds minInterval{8};  // the events within this time share one plan
    int restFactor = 4;  // the rest after a plan is at least this many times its duration
    TimePoint nextAt{};
};

bool mayPlan(const PlanPacing &pacing, TimePoint now);

// Records a plan that was begun at `begunAt` and took `duration`.
void recordPlan(PlanPacing &pacing, TimePoint begunAt, std::chrono::microseconds duration);

}  // namespace poplarstream::engine
