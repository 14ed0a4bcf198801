#include "poplarstream/node/outbox.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream {
namespace {

// Guards against a record that takes effect twice, or is reported as not run and takes effect
// later, because the answer to its append was lost.
TEST(Outbox, LostAnswer)
{
    SCOPED_TRACE("given a record whose append has no answer");
    Outbox outbox{.writer = EntryHostId("e1"), .incarnation = 7};
    const RecordId id = nextRecordId(outbox);
    addProposal(outbox, id, "control", "{}", timePoint(0), timePoint(10'000));
    onAppendUnknown(outbox, id);
    {
        SCOPED_TRACE("when the retry delay has not passed, then nothing is sent");
        EXPECT_TRUE(collectResends(outbox, timePoint(249)).empty());
    }
    {
        SCOPED_TRACE("when it has, then the same id is sent again, once");
        const auto resends = collectResends(outbox, timePoint(250));
        ASSERT_EQ(resends.size(), 1U);
        EXPECT_EQ(resends.front().id, id);
        EXPECT_TRUE(collectResends(outbox, timePoint(9'000)).empty());
    }
    {
        SCOPED_TRACE("when the second append is refused, then the first may still be in the log");
        EXPECT_FALSE(onAppendRefused(outbox, id));
        EXPECT_TRUE(collectFenced(outbox, {{"control", timePoint(30'250)}}).empty());
    }
    {
        SCOPED_TRACE("when the stream was read past the fence, then the record is out");
        EXPECT_EQ(collectFenced(outbox, {{"control", timePoint(30'251)}}).size(), 1U);
        EXPECT_FALSE(onReadBack(outbox, id));
    }
}

// Guards against a refusal "not run" for a record that was sent only once and refused: it must end
// the proposal at once, so that the caller is answered in time.
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
