#include "poplarstream/runs/snapshot.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for rc::check

#include "poplarstream/records/codec.hpp"  // for encode, decodeRunRecord
#include "poplarstream/runs/replay.hpp"  // for apply
#include "random_records.hpp"  // for RandomRecords

namespace poplarstream {
namespace {

// Encodes the parts as log records, decodes them and collects the snapshot.
std::optional<RunsState> collectThroughLog(const std::vector<SnapshotPart> &parts,
                                           RunsSnapshotCollector &collector)
{
    std::optional<RunsState> state;
    for (const SnapshotPart &part : parts) {
        const std::string text = encode(RunRecord{{RecordId("s"), EntryHostId("e")}, {part}});
        EXPECT_LE(text.size(), maxRecordBytes);
        if (auto read = collect(collector, decodeRunRecord(text).value(), 0)) {
            state = std::move(read);
        }
    }
    return state;
}

// Guards against state that is missing from a snapshot: a process that starts from the snapshot
// would then decide differently from one that replayed the whole log.
TEST(Snapshot, SnapshotAndTailEqualFullReplay)
{
    EXPECT_TRUE(rc::check("snapshot and tail equal the full log", [](std::uint64_t seed) {
        constexpr int count = 60;
        std::vector<Logged<RunRecord>> log;
        test::RandomRecords records(seed);
        RunsState full;
        for (int i = 0; i < count; ++i) {
            log.push_back(records.next());
            apply(full, log.back());
        }
        RunsState head;
        for (int cut = 0; cut < count; ++cut) {
            apply(head, log[static_cast<std::size_t>(cut)]);
            RunsSnapshotCollector collector;
            auto state = collectThroughLog(snapshotParts(head, RecordId("s")), collector);
            RC_ASSERT(state.has_value());
            RC_ASSERT(*state == head);
            for (const Logged<RunRecord> &logged : log) {
                apply(*state, logged);
            }
            RC_ASSERT(*state == full);
        }
    }));
}

RunsState largeState()
{
    RunsState state;
    for (Offset i = 0; i < 300; ++i) {
        RunAccepted accepted;
        accepted.run = RunId("a-" + std::to_string(i));
        accepted.tenant = AccountId("t");
        accepted.payload = std::string(500, '\x01') + "ü\"";
        apply(state,
              {i, timePoint(1), {{RecordId(std::to_string(i)), EntryHostId("e")}, {accepted}}});
    }
    return state;
}

// Guards against using an incomplete or corrupt snapshot.
TEST(Snapshot, SkipsInvalidSnapshots)
{
    SCOPED_TRACE("given a snapshot of several parts with payloads that need JSON escapes");
    const RunsState state = largeState();
    const std::vector<SnapshotPart> parts = snapshotParts(state, RecordId("s"));
    ASSERT_GT(parts.size(), 4U);
    {
        SCOPED_TRACE("when it is complete, then it is restored");
        RunsSnapshotCollector collector;
        const auto read = collectThroughLog(parts, collector);
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(*read, state);
    }
    {
        SCOPED_TRACE("when a part is missing, then it is skipped and the kept parts are bounded");
        RunsSnapshotCollector collector;
        for (int i = 0; i < 20; ++i) {
            std::vector<SnapshotPart> incomplete = parts;
            incomplete.pop_back();
            for (SnapshotPart &part : incomplete) {
                part.snapshot = RecordId("s" + std::to_string(i));
            }
            EXPECT_FALSE(collectThroughLog(incomplete, collector).has_value());
        }
        EXPECT_LE(collector.incomplete.size(), 4U);
    }
    {
        SCOPED_TRACE("when a part is corrupt, then it is skipped");
        RunsSnapshotCollector collector;
        std::vector<SnapshotPart> damaged = parts;
        damaged[1].data[100] ^= 1;
        EXPECT_FALSE(collectThroughLog(damaged, collector).has_value());
    }
    {
        SCOPED_TRACE("when the text is truncated or corrupt, then it is rejected without a crash");
        const std::string text = writeState(state);
        Random random(1);
        for (int i = 0; i < 300; ++i) {
            std::string changed =
                    text.substr(0, i % 3 == 0 ? random.below(text.size()) : text.size());
            if (!changed.empty()) {
                changed[random.below(changed.size())] = static_cast<char>(random.below(256));
            }
            (void)readState(changed);
        }
        EXPECT_FALSE(readState(text.substr(0, text.size() - 1)));
        EXPECT_FALSE(readState(""));
    }
}

}  // namespace
}  // namespace poplarstream
