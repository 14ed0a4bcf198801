#include "poplarstream/ownership/log_contact.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::ownership {
namespace {

constexpr Milliseconds interval{2500};  // of a process that pauses 1.5 s and waits 1 s

// Guards against a process that reads seldom and takes each of its pauses for an outage.
TEST(LogContact, PauseBetweenReadsIsNoGap)
{
    LogContact contact;
    const TimePoint first = timePoint(10'000);
    recordRead(contact, true, first, interval);
    recordRead(contact, true, first + interval + Milliseconds{20}, interval);
    EXPECT_EQ(contact.reachableSince, first);
}

// Guards against claims of a process that cannot read the log, whether reads fail or get no answer.
TEST(LogContact, FailedOrOverdueReadEndsTheContact)
{
    SCOPED_TRACE("given a process whose last read succeeded");
    LogContact contact;
    TimePoint now = timePoint(10'000);
    recordRead(contact, true, now, interval);
    EXPECT_TRUE(isReachable(contact, now + interval, interval));
    {
        SCOPED_TRACE("when the next read gets no answer, then the contact ends");
        EXPECT_FALSE(isReachable(contact, now + interval + Milliseconds{1000}, interval));
    }
    {
        SCOPED_TRACE("when it fails, then the contact ends at once");
        now += Milliseconds{100};
        recordRead(contact, false, now, interval);
        EXPECT_FALSE(isReachable(contact, now, interval));
        {
            SCOPED_TRACE("and a retry that succeeds continues it");
            recordRead(contact, true, now + Milliseconds{100}, interval);
            EXPECT_TRUE(isReachable(contact, now + Milliseconds{100}, interval));
            EXPECT_EQ(contact.reachableSince, timePoint(10'000));
        }
    }
}

}  // namespace
}  // namespace poplarstream::ownership
