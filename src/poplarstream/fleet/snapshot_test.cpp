#include "poplarstream/fleet/snapshot.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for rc::check

#include "poplarstream/fleet/random_log.hpp"  // for RandomLog
#include "poplarstream/fleet/replay.hpp"  // for apply
#include "poplarstream/records/codec.hpp"  // for encode

namespace poplarstream {
namespace {

// Returns a state whose snapshot has several parts, with texts that JSON escapes and with multibyte
// characters.
FleetState largeState()
{
    FleetState state;
    Offset offset = 0;
    std::vector<ConfigEdit> edits = {{"fleet", "name", "snapshot"}, {"zone z", "region", "r"}};
    // Long enough that part boundaries fall inside these characters.
    std::string wide;
    for (int i = 0; i < 50; ++i) {
        wide += "\u20ac\U0001F600";
    }
    for (int i = 0; i < 1500; ++i) {
        const std::string tenant = "tenant t" + std::to_string(i);
        edits.push_back({tenant, "quota", "1"});
        edits.push_back({tenant, "token", std::to_string(i) + "\"\\" + wide});
        if (i < 20) {
            edits.push_back({"wave w" + std::to_string(i), "pools", "p"});
            edits.push_back({"wave w" + std::to_string(i), "action", "reboot"});
        }
    }
    edits.push_back({"pool p", "max_away", "0"});
    apply(state, {offset,
                  timePoint(1),
                  {{RecordId("first"), EntryHostId("e")}, ConfigChange{0, "ann", edits}}});
    for (int i = 0; i < 9000; ++i) {
        apply(state, {++offset,
                      timePoint(1),
                      {{RecordId(std::to_string(i)), EntryHostId("e")},
                       HostHealth{HostId("none"), true, ""}}});
    }
    return state;
}

std::vector<SnapshotPart> partsOf(const FleetState &state, const char *id)
{
    return snapshotParts(state, RecordId(id));
}

// Guards against a snapshot part that is too large for the log, and against one that is split
// inside a character and corrupted by the codec.
TEST(Snapshot, PartsFitAndSurviveTheCodec)
{
    const FleetState state = largeState();
    ASSERT_EQ(state.version, 1u);
    const auto parts = partsOf(state, "s");
    EXPECT_GT(parts.size(), 3u);
    SnapshotCollector collector;
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        const std::string text = encode(ControlRecord{{RecordId("r"), EntryHostId("e")}, *part});
        EXPECT_LT(text.size(), maxRecordBytes);
        collector.add(std::get<SnapshotPart>(decodeControlRecord(text).value().body));
    }
    const auto restored = collector.newest();
    ASSERT_TRUE(restored);
    EXPECT_EQ(encodeState(*restored), encodeState(state));
    EXPECT_EQ(restored->recentIds.hashes().size(), RecentIds::capacity);
}

// Guards against a start from a damaged or incomplete snapshot when an older complete one exists.
TEST(Snapshot, SkipsDamagedAndIncomplete)
{
    FleetState state = largeState();
    const auto older = partsOf(state, "older");
    const Offset olderNext = state.next;
    apply(state, {state.next,
                  timePoint(2),
                  {{RecordId("later"), EntryHostId("e")}, ZoneReachability{ZoneId("z"), true}}});
    const auto newer = partsOf(state, "newer");
    const auto restoredNext = [&](const std::vector<SnapshotPart> &damaged) {
        SnapshotCollector collector;
        for (const auto *parts : {&older, &damaged}) {
            for (const SnapshotPart &part : *parts) {
                collector.add(part);
            }
        }
        return collector.newest().value().next;
    };
    EXPECT_EQ(restoredNext(newer), state.next);
    auto damaged = newer;
    damaged.pop_back();
    EXPECT_EQ(restoredNext(damaged), olderNext);
    damaged = newer;
    damaged[1].data[7] ^= 1;
    EXPECT_EQ(restoredNext(damaged), olderNext);
    damaged = newer;
    damaged[0].count = 4'000'000;
    EXPECT_EQ(restoredNext(damaged), olderNext);
    damaged = newer;
    for (SnapshotPart &part : damaged) {
        ++part.through;
    }
    EXPECT_EQ(restoredNext(damaged), olderNext);
}

// Guards against a crash while decoding a state received from a peer.
TEST(Snapshot, RejectsArbitraryBytes)
{
    FleetState state;
    for (const auto &logged : RandomLog(7).write(50)) {
        apply(state, logged);
    }
    const std::string valid = encodeState(state);
    EXPECT_TRUE(rc::check("decoding never throws", [&](std::uint8_t byte) {
        std::string text = valid;
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = static_cast<char>(byte);
        (void)decodeState(text);
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
        RC_ASSERT(!decodeState(text));
    }));
}

// Guards against a retried append that is applied twice, and against unbounded memory for ids.
TEST(RecentIds, KeepsTheNewest)
{
    RecentIds ids;
    const auto header = [](std::size_t i) {
        return RecordHeader{RecordId(std::to_string(i)), EntryHostId("e")};
    };
    for (std::size_t i = 0; i < 2 * RecentIds::capacity; ++i) {
        EXPECT_TRUE(ids.insert(header(i)));
        EXPECT_FALSE(ids.insert(header(i)));
        EXPECT_FALSE(i > 0 && ids.insert(header(i - std::min(i, RecentIds::capacity - 1))));
    }
    EXPECT_EQ(ids.hashes().size(), RecentIds::capacity);
    EXPECT_TRUE(ids.insert({RecordId("1"), EntryHostId("other")}));
}

// Guards against a transition that is added or removed by mistake.
TEST(HostLifeCycle, HasExactlyTheseTransitions)
{
    using S = HostState;
    using E = HostEvent;
    const std::map<std::pair<S, E>, S> expected = {
            {{S::InService, E::Granted}, S::Draining},
            {{S::InService, E::Failed}, S::Failed},
            {{S::Draining, E::Drained}, S::Away},
            {{S::Draining, E::Left}, S::Away},
            {{S::Draining, E::Abandoned}, S::Returning},
            {{S::Draining, E::Failed}, S::Failed},
            {{S::Away, E::Left}, S::Away},
            {{S::Away, E::CameBack}, S::Returning},
            {{S::Away, E::Abandoned}, S::Returning},
            {{S::Away, E::Failed}, S::Failed},
            {{S::Returning, E::Returned}, S::InService},
            {{S::Returning, E::Failed}, S::Failed},
            {{S::Failed, E::Recovered}, S::InService},
            {{S::Failed, E::RecoveredAway}, S::Returning},
    };
    for (std::size_t s = 0; s < hostStateCount; ++s) {
        for (std::size_t e = 0; e < hostEventCount; ++e) {
            const auto cell = std::pair(static_cast<S>(s), static_cast<E>(e));
            const auto it = expected.find(cell);
            EXPECT_EQ(next(cell.first, cell.second),
                      it == expected.end() ? std::nullopt : std::optional(it->second))
                    << s << " " << e;
        }
    }
}

}  // namespace
}  // namespace poplarstream
