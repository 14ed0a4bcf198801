#include "poplarstream/engine/plan_pacing.hpp"

#include <algorithm>  // for max

namespace poplarstream::engine {

bool mayPlan(const PlanPacing &pacing, TimePoint now)
{
    return now >= pacing.nextAt;
}

void recordPlan(PlanPacing &pacing, TimePoint begunAt, std::chrono::microseconds duration)
{
    const auto interval = std::chrono::ceil<Milliseconds>(duration + duration * pacing.restFactor);
    pacing.nextAt = begunAt + std::max(pacing.minInterval, interval);
}

}  // namespace poplarstream::engine
