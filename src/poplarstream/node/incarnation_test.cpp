#include "poplarstream/node/incarnation.hpp"

#include <map>  // for map
#include <set>  // for set

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/node/outbox.hpp"  // for nextRecordId
#include "poplarstream/node/peer_membership.hpp"  // for makePeerMembership
#include "poplarstream/node/run_calls.hpp"  // for makeAcceptance, respondReadBack
#include "poplarstream/traffic/state_view.hpp"  // for formatRequestId, formatAttemptId

namespace poplarstream {
namespace {

// Processes that start in a loop, of which many start in the same millisecond.
constexpr int starts = 100;

RunAccepted acceptedRun(std::uint64_t incarnation)
{
    RunSubmission submission;
    submission.service = ServiceId("s");
    submission.tenant = AccountId("t");
    submission.payload = "payload";
    return makeAcceptance(submission, ServiceConfig{.id = ServiceId("s")}, ZoneId("quay"),
                          incarnation, 1);
}

// Guards against one id for the first runs of two entry hosts of a zone that start in the same
// millisecond: the second run is refused although nothing is wrong with it.
TEST(Incarnation, FirstRunsOfEntryHostsAreAllAccepted)
{
    RunsState state;
    AcceptanceTable table;
    std::map<unsigned, int> responses;
    for (int i = 0; i < starts; ++i) {
        const RunAccepted accepted = acceptedRun(newIncarnation());
        const RecordId record("r" + std::to_string(i));
        table.byRecord[record].push_back(
                {.run = accepted.run,
                 .tenant = accepted.tenant,
                 .payloadHash = accepted.payloadHash,
                 .reply = [&](const HttpResponse &response) { ++responses[response.status]; }});
        const Logged<RunRecord> logged{
                static_cast<Offset>(i), timePoint(i), {{record, EntryHostId("e")}, {accepted}}};
        respondReadBack(table, record, state, apply(state, logged));
    }
    EXPECT_EQ(responses, (std::map<unsigned, int>{{202, starts}}));
    EXPECT_EQ(state.runs.size(), static_cast<std::size_t>(starts));
}

// Guards against records that are taken for repeated appends, because an entry host that restarted
// after its clock was set back gives them ids that are in the log. Their runs would be lost, and
// callers would learn the id of an earlier run.
TEST(Incarnation, RecordsOfRestartedEntryHostTakeEffect)
{
    RunsState state;
    for (int i = 0; i < starts; ++i) {
        Outbox outbox{.writer = EntryHostId("e"), .incarnation = newIncarnation()};
        RunAccepted accepted = acceptedRun(1);
        accepted.run = RunId("quay-" + std::to_string(i));
        const Logged<RunRecord> logged{static_cast<Offset>(i),
                                       timePoint(i),
                                       {{nextRecordId(outbox), EntryHostId("e")}, {accepted}}};
        EXPECT_FALSE(apply(state, logged).isDuplicate) << "start " << i;
    }
}

// Guards against ids of requests and attempts that two processes share: a minion's response would
// end the attempt of another process, and an operator would read the reason of another request.
TEST(Incarnation, RequestsAndAttemptsOfProcessesDiffer)
{
    std::set<std::string> requests;
    std::set<std::string> attempts;
    std::set<std::uint64_t> picks;
    for (int i = 0; i < starts; ++i) {
        const std::uint64_t incarnation = newIncarnation();
        const traffic::TrafficState state(incarnation, incarnation);
        requests.insert(traffic::formatRequestId(state, traffic::RequestNumber{1}));
        attempts.insert(traffic::formatAttemptId(state, traffic::AttemptNumber{1}));
        // Entry hosts with one seed would all send their first calls to the same peers.
        picks.insert(Random(incarnation)());
    }
    EXPECT_EQ(requests.size(), static_cast<std::size_t>(starts));
    EXPECT_EQ(attempts.size(), static_cast<std::size_t>(starts));
    EXPECT_EQ(picks.size(), static_cast<std::size_t>(starts));
}

// Guards against an entry host that its peers do not hear for as long as its earlier process ran,
// since both have one incarnation: they started in the same second by a clock that each start of
// the machine sets to the same time.
TEST(Incarnation, PeersHearProcessThatRestartsWithTheSameTime)
{
    constexpr int secondsBefore = 600;
    const membership::KnownPeer self{EntryHostId("a"), ZoneId("z")};
    const membership::KnownPeer peer{EntryHostId("b"), ZoneId("z")};
    const std::vector known{self, peer};
    PeerMembership listener = makePeerMembership(self, 1, known, timePoint(0));
    const auto runPeer = [&](int from, int seconds) {
        PeerMembership process = makePeerMembership(peer, peerIncarnation(newIncarnation()), known,
                                                    timePoint(from * 1'000));
        for (int second = from; second < from + seconds; ++second) {
            const TimePoint now = timePoint(second * 1'000);
            advance(process, now);
            advance(listener, now);
            receive(listener, prepareHeartbeat(process, now), now);
        }
        return viewOf(listener, timePoint((from + seconds) * 1'000)).zoneLive.size();
    };
    EXPECT_EQ(runPeer(0, secondsBefore), 2U);
    SCOPED_TRACE("given that the peer restarts, and 20 s have passed");
    EXPECT_EQ(runPeer(secondsBefore, 20), 2U);
}

}  // namespace
}  // namespace poplarstream
