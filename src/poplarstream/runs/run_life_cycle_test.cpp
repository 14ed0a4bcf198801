#include "poplarstream/runs/run_life_cycle.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream {
namespace {

// Guards against a transition out of a final stage: a cancelled or finished run would start again.
TEST(RunLifeCycle, FinalStagesStayFinal)
{
    for (std::size_t stage = 0; stage < runStageCount; ++stage) {
        bool canLeave = false;
        for (std::size_t event = 0; event < runEventCount; ++event) {
            const auto to = next(static_cast<RunStage>(stage), static_cast<RunEvent>(event));
            canLeave |= to.has_value();
        }
        EXPECT_EQ(canLeave, !isFinal(static_cast<RunStage>(stage))) << stage;
    }
}

// Guards against errors in the generated transition table.
TEST(RunLifeCycle, FollowsTheTable)
{
    using enum RunStage;
    EXPECT_EQ(next(Accepted, RunEvent::Claim), Claimed);
    EXPECT_EQ(next(Claimed, RunEvent::Start), Started);
    EXPECT_EQ(next(Started, RunEvent::Succeed), Finished);
    EXPECT_EQ(next(Started, RunEvent::Release), Accepted);
    EXPECT_EQ(next(Started, RunEvent::CancelOutstanding), Cancelling);
    EXPECT_EQ(next(Cancelling, RunEvent::ConfirmCancel), Cancelled);
    EXPECT_EQ(next(Started, RunEvent::Claim), std::nullopt);
    EXPECT_EQ(next(Claimed, RunEvent::Cancel), std::nullopt);
    EXPECT_EQ(next(Accepted, RunEvent::Start), std::nullopt);
}

}  // namespace
}  // namespace poplarstream
