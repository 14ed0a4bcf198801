#include "poplarstream/node/run_calls.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream {
namespace {

// Guards against a caller that is told for good that its key was used before, although it gave
// none: the id of its run was in use, and the next one is not.
TEST(RunCalls, RunWithAnIdInUseMayBeRepeated)
{
    SCOPED_TRACE("given two records of one tenant that accept runs under one id, without a key");
    RunsState state;
    AcceptanceTable table;
    std::vector<HttpResponse> responses;
    for (Offset offset = 0; offset < 2; ++offset) {
        RunAccepted accepted;
        accepted.run = RunId("quay-1.1");
        accepted.tenant = AccountId("t");
        accepted.payload = "payload " + std::to_string(offset);
        const RecordId record("r" + std::to_string(offset));
        table.byRecord[record].push_back(
                {.run = accepted.run,
                 .tenant = accepted.tenant,
                 .payloadHash = static_cast<std::uint64_t>(offset),
                 .reply = [&](HttpResponse response) { responses.push_back(response); }});
        const Logged<RunRecord> logged{
                offset, timePoint(0), {{record, EntryHostId("e")}, {accepted}}};
        respondReadBack(table, record, state, apply(state, logged));
    }
    ASSERT_EQ(responses.size(), 2U);
    EXPECT_EQ(responses[0].status, 202U);
    {
        SCOPED_TRACE("then the second caller learns that its run has not run and may be repeated");
        EXPECT_EQ(responses[1].status, 503U);
        EXPECT_EQ(headerValue(responses[1].headers, "Poplar-Verdict"), "not-run");
        EXPECT_TRUE(headerValue(responses[1].headers, "Retry-After"));
    }
}

}  // namespace
}  // namespace poplarstream
