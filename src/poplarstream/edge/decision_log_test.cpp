#include "poplarstream/edge/decision_log.hpp"

#include <algorithm>  // for count
#include <string>  // for string

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::edge {
namespace {

using engine::Decision;
using engine::DecisionKind;

constexpr int manyDecisions = 1000;

// Guards against a repeated run that the log cannot explain, because the thousands of starts around
// it used up the lines of the second.
TEST(DecisionLog, StartsLeaveRoomForReleases)
{
    SCOPED_TRACE("given a second with more starts than may be logged");
    const TimePoint now = timePoint(1'000'000);
    const auto linesOf = [now](DecisionLog &log, DecisionKind kind) {
        ::testing::internal::CaptureStdout();
        for (int i = 0; i < manyDecisions; ++i) {
            Decision decision;
            decision.kind = kind;
            log.write(decision, now);
        }
        const std::string text = ::testing::internal::GetCapturedStdout();
        return std::count(text.begin(), text.end(), '\n');
    };
    DecisionLog log;
    const auto starts = linesOf(log, DecisionKind::TaskPlanned);
    EXPECT_LT(starts, manyDecisions);
    EXPECT_EQ(log.allowance(now), 0U);
    {
        SCOPED_TRACE("then as many other decisions are logged in the same second");
        EXPECT_EQ(linesOf(log, DecisionKind::TaskReleased), starts);
    }
    {
        SCOPED_TRACE("then starts are logged again in the next second");
        EXPECT_GT(log.allowance(now + Milliseconds{1000}), 0U);
    }
}

}  // namespace
}  // namespace poplarstream::edge
