#include "poplarstream/node/log_clock.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream {
namespace {

// Guards against a lease holder that acts after its lease has expired by log time because its own
// clock is behind.
TEST(LogClock, Bounds)
{
    SCOPED_TRACE("the log clock is 1,000 ms ahead; append and read-back take 40 ms");
    LogClock clock;
    observeOwnRecord(clock, timePoint(100), timePoint(140), timePoint(1'110));
    {
        SCOPED_TRACE("the true log time is between the two estimates");
        EXPECT_EQ(latestLogTime(clock, timePoint(200)), timePoint(1'210));
        EXPECT_EQ(earliestLogTime(clock, timePoint(200)), timePoint(1'170));
    }
    {
        SCOPED_TRACE("a record of another process is later than the upper bound allows");
        observeRecord(clock, timePoint(300), timePoint(5'300));
        SCOPED_TRACE("the log clock was set forward and both estimates follow");
        EXPECT_EQ(latestLogTime(clock, timePoint(300)), timePoint(5'300));
    }
}

}  // namespace
}  // namespace poplarstream
