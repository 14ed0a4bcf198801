#include "poplarstream/node/outbox.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream {
namespace {

// Guards against a record that takes effect twice, or takes effect after it was reported as not
// run, because the acknowledgement of its append was lost.
TEST(Outbox, LostAcknowledgement)
{
    SCOPED_TRACE("an append is not acknowledged");
    Outbox outbox{.writer = EntryHostId("e1"), .incarnation = 7};
    const RecordId id = nextRecordId(outbox);
    addProposal(outbox, id, "control", "{}", timePoint(0), timePoint(10'000));
    onAppendUnknown(outbox, id);
    {
        SCOPED_TRACE("nothing is sent before the retry delay has passed");
        EXPECT_TRUE(collectResends(outbox, timePoint(249)).empty());
    }
    {
        SCOPED_TRACE("after the delay the same id is sent again, once");
        const auto resends = collectResends(outbox, timePoint(250));
        ASSERT_EQ(resends.size(), 1U);
        EXPECT_EQ(resends.front().id, id);
        EXPECT_TRUE(collectResends(outbox, timePoint(9'000)).empty());
    }
    {
        SCOPED_TRACE("the second append is refused, but the first may still be in the log");
        EXPECT_FALSE(onAppendRefused(outbox, id));
        EXPECT_TRUE(collectFenced(outbox, {{"control", timePoint(30'250)}}).empty());
    }
    {
        SCOPED_TRACE("the stream was read past the fence, so the record cannot be in the log");
        EXPECT_EQ(collectFenced(outbox, {{"control", timePoint(30'251)}}).size(), 1U);
        EXPECT_FALSE(onReadBack(outbox, id));
    }
}

// Guards against a proposal that stays pending after its only append was refused: the caller would
// get its "not run" response too late.
TEST(Outbox, Refused)
{
    Outbox outbox{.writer = EntryHostId("e1")};
    const RecordId id = nextRecordId(outbox);
    addProposal(outbox, id, "control", "{}", timePoint(0), timePoint(10));
    EXPECT_TRUE(onAppendRefused(outbox, id));
    EXPECT_FALSE(hasProposal(outbox, "control"));
    EXPECT_NE(nextRecordId(outbox), id);
}

}  // namespace
}  // namespace poplarstream
