#include "poplarstream/node/log_clock.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream {
namespace {

// Guards against a holder that acts after its lease has lapsed by the log's clock because its own
// clock is behind.
TEST(LogClock, Bounds)
{
    SCOPED_TRACE("given a log whose clock is 1,000 ms ahead, and 40 ms to append and read back");
    LogClock clock;
    observeOwnRecord(clock, timePoint(100), timePoint(140), timePoint(1'110));
    {
        SCOPED_TRACE("then the true log time lies between the two estimates");
        EXPECT_EQ(latestLogTime(clock, timePoint(200)), timePoint(1'210));
        EXPECT_EQ(earliestLogTime(clock, timePoint(200)), timePoint(1'170));
    }
    {
        SCOPED_TRACE("when a record of another process is later than thought possible");
        observeRecord(clock, timePoint(300), timePoint(5'300));
        SCOPED_TRACE("then the log's clock was set forward and both estimates follow");
        EXPECT_EQ(latestLogTime(clock, timePoint(300)), timePoint(5'300));
    }
}

}  // namespace
}  // namespace poplarstream
