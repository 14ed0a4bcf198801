#include "poplarstream/engine/plan_pacing.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::engine {
namespace {

// Guards against an owner under overload that spends its processor time on plans: when thousands of
// jobs wait, each plan takes long, and each completion asks for one.
TEST(PlanPacing, LongPlansLeaveTimeForOtherWork)
{
    PlanPacing pacing;
    TimePoint now = timePoint(1'000'000);
    const TimePoint end = now + Milliseconds{10'000};
    Milliseconds planning{0};
    while (now < end) {
        if (mayPlan(pacing, now)) {
            const Milliseconds duration{30};
            recordPlan(pacing, now, duration);
            planning += duration;
            now += duration;
        } else {
            now += Milliseconds{1};
        }
    }
    EXPECT_LE(planning, Milliseconds{10'000 / 5 + 30});
    EXPECT_GE(planning, Milliseconds{10'000 / 6}) << "but plans go on";
}

TEST(PlanPacing, ShortPlansFollowEachOtherSoon)
{
    PlanPacing pacing;
    const TimePoint now = timePoint(1'000'000);
    EXPECT_TRUE(mayPlan(pacing, now));
    recordPlan(pacing, now, std::chrono::microseconds{150});
    EXPECT_FALSE(mayPlan(pacing, now + Milliseconds{7}));
    EXPECT_TRUE(mayPlan(pacing, now + Milliseconds{8}));
}

}  // namespace
}  // namespace poplarstream::engine
