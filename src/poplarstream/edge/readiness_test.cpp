#include "poplarstream/edge/readiness.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_TRUE

namespace poplarstream::edge {
namespace {

// Guards against callers of a zone that has been cut off who are sent to its entry hosts until
// their time is over.
TEST(Readiness, ZoneCutOff)
{
    SCOPED_TRACE("given an entry host that reads the store and stores through the owner");
    const TimePoint cutAt = timePoint(50'000);
    ContactEvidence evidence{true, cutAt, cutAt};
    EXPECT_TRUE(isInContact(evidence, cutAt));
    {
        SCOPED_TRACE("when its reads fail and the owner stores nothing for it");
        evidence.isStoreReachable = false;
        EXPECT_TRUE(isInContact(evidence, cutAt + Milliseconds{1000}));
        EXPECT_FALSE(isInContact(evidence, cutAt + Milliseconds{1001}));
    }
    {
        SCOPED_TRACE("when the zone is back");
        evidence.isStoreReachable = true;
        EXPECT_TRUE(isInContact(evidence, cutAt + Milliseconds{6000}));
    }
}

// Guards against taking an entry host that the store turns away out of rotation.
TEST(Readiness, StoreServesOthersOnly)
{
    SCOPED_TRACE("given an entry host whose reads fail");
    const TimePoint now = timePoint(50'000);
    ContactEvidence evidence;
    evidence.storeReadAt = now - Milliseconds{10'000};
    {
        SCOPED_TRACE("then it is ready as long as the owner stores for it");
        evidence.ownerStoredAt = now - Milliseconds{300};
        EXPECT_TRUE(isInContact(evidence, now));
        EXPECT_FALSE(isInContact(evidence, now + Milliseconds{1000}));
    }
}

}  // namespace
}  // namespace poplarstream::edge
