#include "poplarstream/runs/replay.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for rc::check

#include "poplarstream/runs/queries.hpp"  // for findRun, openClaimCount
#include "random_records.hpp"  // for RandomRecords
#include "reference_replay.hpp"  // for ReferenceReplay

namespace poplarstream {
namespace {

// The run without the fields that the reference does not model.
Run comparable(Run run)
{
    run.ordinal = 0;
    run.reason.clear();
    return run;
}

// Checks the indexes against the runs.
void expectIndexesMatch(const RunsState &state)
{
    std::size_t waiting = 0;
    std::map<HostId, std::uint32_t> claims;
    for (const auto &[ordinal, run] : state.runs) {
        const auto queue = state.waiting.find(run.accepted.tenant);
        const bool isWaiting = queue != state.waiting.end() && queue->second.contains(ordinal);
        ASSERT_EQ(isWaiting, run.stage == RunStage::Accepted);
        ASSERT_EQ(state.active.contains(ordinal), run.stage == RunStage::Claimed
                                                          || run.stage == RunStage::Started
                                                          || run.stage == RunStage::Cancelling);
        waiting += isWaiting ? 1 : 0;
        if (run.claim) {
            ++claims[run.claim->worker];
        }
    }
    for (const auto &[host, count] : claims) {
        ASSERT_EQ(openClaimCount(state, host), count);
    }
    ASSERT_EQ(state.reserved.size(), claims.size());
    ASSERT_EQ(state.byId.entries.size() + state.byId.collisions.size(), state.runs.size());
}

// Guards against replay errors in the indexes, the transition table or eviction, by comparison with
// a simple reference. With such an error entry hosts could disagree on who may start a run.
TEST(Replay, AgreesWithReference)
{
    EXPECT_TRUE(rc::check("replay and reference agree", [](std::uint64_t seed) {
        test::RandomRecords records(seed);
        RunsState state;
        test::ReferenceReplay reference;
        for (int i = 0; i < 200; ++i) {
            const Logged<RunRecord> logged = records.next();
            apply(state, logged);
            reference.apply(logged);
            RC_ASSERT(state.runs.size() == reference.runs.size());
            for (const poplarstream::Run &run : reference.runs) {
                const auto *found = findRun(state, run.id());
                RC_ASSERT(found);
                RC_ASSERT(comparable(*found) == comparable(run));
            }
        }
        expectIndexesMatch(state);
        RC_ASSERT(!testing::Test::HasFatalFailure());
    }));
}

Logged<RunRecord> logged(Offset offset, std::int64_t time, std::vector<RunEntry> entries)
{
    return {offset,
            timePoint(time),
            {{RecordId("r" + std::to_string(offset)), EntryHostId("e")}, std::move(entries)}};
}

RunAccepted accepted(const std::string &run, const std::string &key, std::uint64_t hash)
{
    return {RunId(run), AccountId("t"), ServiceId("s"),  key,   hash,
            "payload",  {1, 1, 0},      Milliseconds{1}, false, timePoint(0)};
}

// Guards against duplicate runs: a repeated request must resolve to the first run, and a key that
// is reused with another payload must not resolve to the result of an unrelated run.
TEST(Replay, DeduplicatesByKey)
{
    RunsState state;
    apply(state, logged(0, 10, {accepted("a-1", "k", 7)}));
    SCOPED_TRACE("given a run accepted under a key");
    {
        SCOPED_TRACE("when the same request is repeated with another run id");
        const ApplyResult same = apply(state, logged(1, 11, {accepted("a-2", "k", 7)}));
        EXPECT_FALSE(same.isGranted(0));
        EXPECT_EQ(findRunByKey(state, AccountId("t"), "k")->id(), RunId("a-1"));
    }
    {
        SCOPED_TRACE("when the key is reused with another payload");
        const ApplyResult other = apply(state, logged(2, 12, {accepted("a-3", "k", 8)}));
        ASSERT_EQ(other.refusals.size(), 1U);
        EXPECT_EQ(other.refusals[0].reason,
                  "the idempotency key was used before with another payload");
        EXPECT_EQ(findRun(state, RunId("a-3")), nullptr);
    }
}

// Guards against unbounded memory growth in a process that runs for months.
TEST(Replay, ForgetsWithBounds)
{
    RunsState state;
    Offset offset = 0;
    for (int i = 0; i < 40'000; ++i) {
        const std::string run = "a-" + std::to_string(i);
        apply(state, logged(offset++, i,
                            {accepted(run, run, 1), RunsCancelled{{RunId(run)}},
                             RunDeadLettered{RunId(run), "late"}}));
    }
    EXPECT_EQ(state.recentRecordHashes.size(), maxRecentRecords);
    EXPECT_EQ(state.refusals.size(), maxRefusals);
    const std::int64_t later = 40'000 + resultRetention.count();
    apply(state, logged(offset++, later, {}));
    EXPECT_TRUE(state.runs.empty());
    EXPECT_TRUE(state.byId.entries.empty());
    EXPECT_TRUE(state.byKey.entries.empty());
    EXPECT_TRUE(state.ended.empty());
}

// Guards against payloads or keys in explanations, which operators of other teams can read.
TEST(Replay, ExplainsWithoutContent)
{
    RunsState state;
    apply(state, logged(0, 10, {accepted("a-1", "secret-key", 7), RunsCancelled{{RunId("a-1")}}}));
    apply(state, logged(1, 11, {RunDeadLettered{RunId("a-1"), "late"}}));
    std::string text;
    for (const std::string &line : explainRun(state, RunId("a-1"))) {
        text += line + "\n";
    }
    EXPECT_NE(text.find("cancelled"), std::string::npos);
    EXPECT_NE(text.find("was refused"), std::string::npos);
    EXPECT_EQ(text.find("payload"), std::string::npos);
    EXPECT_EQ(text.find("secret-key"), std::string::npos);
}

}  // namespace
}  // namespace poplarstream
