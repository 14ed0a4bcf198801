#include "poplarstream/edge/decision_log.hpp"

#include <algorithm>  // for count
#include <sstream>  // for istringstream
#include <string>  // for string
#include <vector>  // for vector

#include <fmt/format.h>  // for format
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

// What a takeover may decide at once: the leases of silent workers lapse with all of their runs.
struct LapsedWorkers
{
    int workers = 0;
    int runsOnEach = 0;

    // Writes the decisions and returns the lines.
    std::vector<std::string> writeTo(DecisionLog &log, TimePoint now) const
    {
        ::testing::internal::CaptureStdout();
        for (int worker = 0; worker < workers; ++worker) {
            Decision lapse;
            lapse.kind = DecisionKind::LeaseLapsed;
            lapse.worker = jobs::WorkerId(fmt::format("w{:03}", worker));
            log.write(lapse, now);
            for (int run = 0; run < runsOnEach; ++run) {
                Decision release;
                release.kind = DecisionKind::TaskReleased;
                release.worker = lapse.worker;
                release.cause = engine::ReleaseCause::LeaseLapsed;
                release.isFromPreviousOwner = run > 0;
                log.write(release, now);
            }
        }
        return linesOf(::testing::internal::GetCapturedStdout());
    }

    static std::vector<std::string> linesOf(const std::string &text)
    {
        std::vector<std::string> lines;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);) {
            lines.push_back(line);
        }
        return lines;
    }
};

std::vector<std::string> linesOfNextSecond(DecisionLog &log, TimePoint now)
{
    ::testing::internal::CaptureStdout();
    log.advance(now + Milliseconds{999});
    EXPECT_EQ(::testing::internal::GetCapturedStdout(), "") << "the second has not passed";
    ::testing::internal::CaptureStdout();
    log.advance(now + Milliseconds{1000});
    return LapsedWorkers::linesOf(::testing::internal::GetCapturedStdout());
}

// Guards against a takeover whose releases the log cannot explain because there are more of them
// than a second may have.
TEST(DecisionLog, SuppressedReleasesAreSummedUp)
{
    const TimePoint now = timePoint(1'000'000);
    {
        SCOPED_TRACE("given a takeover with 300 runs on 100 workers, then each has its line");
        DecisionLog log;
        const LapsedWorkers lapsed{100, 3};
        EXPECT_EQ(lapsed.writeTo(log, now).size(), 400U);
        EXPECT_TRUE(linesOfNextSecond(log, now).empty());
    }
    {
        SCOPED_TRACE("given one with 600 runs on 200 workers, then half have their lines at once");
        DecisionLog log;
        const LapsedWorkers lapsed{200, 3};
        EXPECT_EQ(lapsed.writeTo(log, now).size(), 400U);
        {
            SCOPED_TRACE("and the others one of their worker and cause in the next second");
            const std::vector<std::string> lines = linesOfNextSecond(log, now);
            ASSERT_EQ(lines.size(), 101U);
            EXPECT_TRUE(lines[0].ends_with(" 719 decisions-suppressed count=400")) << lines[0];
            for (int index = 0; index < 100; ++index) {
                const std::string &line = lines[static_cast<std::size_t>(index) + 1];
                EXPECT_TRUE(line.ends_with(fmt::format(" info 749 releases-suppressed worker=w{} "
                                                       "cause=lease-lapsed count=3 previous=2",
                                                       100 + index)))
                        << line;
            }
        }
        {
            SCOPED_TRACE("and are not repeated");
            EXPECT_TRUE(linesOfNextSecond(log, now + Milliseconds{1000}).empty());
        }
    }
    {
        SCOPED_TRACE("given one that ends more workers than a second may have lines, then the "
                     "sums are bounded, and none is left out");
        DecisionLog log;
        const LapsedWorkers lapsed{900, 1};
        EXPECT_EQ(lapsed.writeTo(log, now).size(), 400U);
        EXPECT_EQ(linesOfNextSecond(log, now).size(), 401U);
        EXPECT_EQ(linesOfNextSecond(log, now + Milliseconds{1000}).size(), 300U);
    }
}

}  // namespace
}  // namespace poplarstream::edge
