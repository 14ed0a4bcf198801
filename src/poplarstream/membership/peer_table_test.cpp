#include "poplarstream/membership/peer_table.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for rc::check

#include <algorithm>  // for find
#include <functional>  // for function

#include "poplarstream/membership/peer_queries.hpp"  // for stateOf, livePeers
#include "poplarstream/membership/zone_reachability.hpp"  // for proposeZoneChanges

namespace poplarstream::membership {
namespace {

using std::chrono::seconds;

// Processes that exchange messages each second. A test can cut each link in one direction.
class Network
{
public:
    Network(int zones, int perZone)
    {
        for (int zone = 0; zone < zones; ++zone) {
            for (int i = 0; i < perZone; ++i) {
                const std::string name(1, static_cast<char>('a' + zone));
                known_.push_back({EntryHostId("entry-" + name + "-" + std::to_string(i)),
                                  ZoneId("zone-" + name)});
            }
        }
        for (const KnownPeer &self : known_) {
            tables.push_back(makePeerTable({}, self, 1, known_, now));
        }
        watches.resize(tables.size());
        proposals.resize(tables.size());
        lostBefore.resize(tables.size());
    }

    std::function<bool(std::size_t from, std::size_t to)> isCut = [](auto, auto) { return false; };
    std::function<bool(std::size_t self)> reachesLog = [](auto) { return true; };
    std::vector<PeerTable> tables;
    std::vector<ZoneWatch> watches;
    std::vector<std::vector<ZoneChange>> proposals;  // of the last second
    std::vector<ZoneId> lost;
    std::vector<std::vector<ZoneId>> lostBefore;  // when each process made its proposals
    TimePoint now = timePoint(1'000'000);
    std::size_t bytes = 0;

    // Advances by `count` seconds and applies the proposals in order, as the log does.
    void run(int count)
    {
        for (int second = 0; second < count; ++second) {
            now += seconds(1);
            for (std::size_t i = 0; i < tables.size(); ++i) {
                advance(tables[i], now);
                send(i);
            }
            for (std::size_t i = 0; i < tables.size(); ++i) {
                observeZones(watches[i], tables[i], now);
                lostBefore[i] = lost;
                proposals[i] =
                        proposeZoneChanges(watches[i], tables[i], lost, reachesLog(i), {}, now);
                for (const ZoneChange &change : proposals[i]) {
                    ++records;
                    std::erase(lost, change.zone);
                    if (change.isLost) {
                        lost.push_back(change.zone);
                    }
                }
            }
        }
    }

    int records = 0;

private:
    void send(std::size_t from)
    {
        const Heartbeat heartbeat = nextHeartbeat(tables[from], now, false, reachesLog(from));
        const std::vector<EntryHostId> targets = digestTargets(tables[from], now);
        for (std::size_t to = 0; to < tables.size(); ++to) {
            if (to != from && known_[to].zone == known_[from].zone) {
                bytes += encode(heartbeat).size();
                if (!isCut(from, to)) {
                    receive(tables[to], decodeHeartbeat(encode(heartbeat)).value(), now);
                }
            }
        }
        for (const EntryHostId &target : targets) {
            const Digest digest = nextDigest(tables[from], now, reachesLog(from));
            bytes += encode(digest).size();
            for (std::size_t to = 0; to < tables.size(); ++to) {
                if (known_[to].id == target && !isCut(from, to)) {
                    receive(tables[to], decodeDigest(encode(digest)).value(), now);
                }
            }
        }
    }

    std::vector<KnownPeer> known_;
};

// Guards against a live peer that gets no share of the work because one link to it fails in one
// direction, and against work for a peer that no process hears from.
TEST(PeerTable, OneWayPartitionAndDeath)
{
    Network net(1, 4);
    net.run(3);
    const EntryHostId peer = net.tables[1].self;
    EXPECT_EQ(stateOf(net.tables[0], peer, net.now), PeerState::Live);
    {
        SCOPED_TRACE("given that 0 does not hear 1, then 1 is indirect for 0, 0 one-way for 1, "
                     "both live");
        net.isCut = [](auto from, auto to) { return from == 1 && to == 0; };
        net.run(6);
        EXPECT_EQ(stateOf(net.tables[0], peer, net.now), PeerState::Indirect);
        EXPECT_EQ(stateOf(net.tables[1], net.tables[0].self, net.now), PeerState::OneWay);
        EXPECT_EQ(livePeers(net.tables[0], ZoneId(), net.now).size(), 4);
    }
    {
        SCOPED_TRACE("given that no process hears 1, then it is dead within 3.5 + 6.5 s, not "
                     "before 3 s");
        net.isCut = [](auto from, auto) { return from == 1; };
        net.run(3);
        EXPECT_NE(stateOf(net.tables[2], peer, net.now), PeerState::Dead);
        net.run(7);
        EXPECT_EQ(stateOf(net.tables[2], peer, net.now), PeerState::Dead);
        EXPECT_EQ(livePeers(net.tables[0], ZoneId(), net.now).size(), 3);
    }
}

// Guards against treating messages of a restarted process as outdated ones, or the reverse.
TEST(PeerTable, Incarnations)
{
    Network net(1, 2);
    net.run(3);
    const Heartbeat old = nextHeartbeat(net.tables[1], net.now, false, true);
    Heartbeat fresh = old;
    fresh.incarnation = 2;
    fresh.sequence = 1;
    EXPECT_TRUE(receive(net.tables[0], fresh, net.now));
    EXPECT_FALSE(receive(net.tables[0], old, net.now));
    EXPECT_FALSE(receive(net.tables[0], fresh, net.now));
    SCOPED_TRACE("given a restart after the clock was set back, then it is accepted once suspect");
    Heartbeat back = fresh;
    back.incarnation = 1;
    EXPECT_TRUE(receive(net.tables[0], back, net.now + seconds(4)));
}

// Guards against a peer that restarts after its clock was set back and is not heard for seconds: it
// still counts as leaving, and gets no share of the work. Messages of its earlier processes that
// arrive late must not replace it all the same.
TEST(PeerTable, RestartAfterClockWasSetBack)
{
    Network net(1, 2);
    net.run(3);
    const EntryHostId peer = net.tables[1].self;
    Heartbeat before = nextHeartbeat(net.tables[1], net.now, true, true);
    before.incarnation = 5;
    ASSERT_TRUE(receive(net.tables[0], before, net.now));
    Heartbeat restarted = before;
    restarted.incarnation = 3;
    restarted.sequence = 1;
    restarted.isLeaving = false;
    EXPECT_TRUE(receive(net.tables[0], restarted, net.now));
    EXPECT_FALSE(net.tables[0].peers.at(peer).isLeaving);
    {
        SCOPED_TRACE("when messages of its earlier processes come late, then they are outdated");
        ++before.sequence;
        EXPECT_FALSE(receive(net.tables[0], before, net.now));
        before.incarnation = 1;
        before.sequence += 100;
        EXPECT_FALSE(receive(net.tables[0], before, net.now));
        EXPECT_EQ(net.tables[0].peers.at(peer).incarnation, 3U);
    }
    {
        SCOPED_TRACE("given more restarts than are remembered, then each is heard");
        for (std::uint32_t incarnation = 100; incarnation > 50; --incarnation) {
            restarted.incarnation = incarnation;
            EXPECT_TRUE(receive(net.tables[0], restarted, net.now));
        }
        EXPECT_EQ(net.tables[0].peers.at(peer).incarnation, 51U);
    }
}

// Guards against suspecting all peers after a pause of this process or a jump of its clock.
TEST(PeerTable, ClockJumps)
{
    for (const int jump : {3'600, -3'600}) {
        Network net(2, 2);
        net.run(20);
        net.now += seconds(jump);
        for (PeerTable &table : net.tables) {
            advance(table, net.now);
            EXPECT_EQ(livePeers(table, ZoneId(), net.now).size(), 4);
        }
        net.run(30);
        EXPECT_TRUE(net.lost.empty());
        EXPECT_EQ(livePeers(net.tables[0], ZoneId(), net.now).size(), 4);
    }
}

// Guards against control traffic above 2 KB a second per entry host at design size: 15 zones of 8
// entry hosts. Counts bytes sent and received, with the 8 bytes of framing that nng adds per
// message.
TEST(PeerTable, BytesAtDesignSize)
{
    Network net(15, 8);
    net.run(12);
    net.bytes = 0;
    net.run(8);
    std::size_t messages = 0;
    for (std::size_t i = 0; i < net.tables.size(); ++i) {
        messages += 7 + digestTargets(net.tables[i], net.now).size();
    }
    const auto processes = static_cast<double>(net.tables.size());
    const double perSecond =
            2 * (static_cast<double>(net.bytes) / 8 + 8.0 * static_cast<double>(messages))
            / processes;
    RecordProperty("bytes_a_second", static_cast<int>(perSecond));
    RecordProperty(
            "heartbeat_bytes",
            static_cast<int>(encode(nextHeartbeat(net.tables[0], net.now, false, true)).size()));
    RecordProperty("digest_bytes",
                   static_cast<int>(encode(nextDigest(net.tables[0], net.now, true)).size()));
    EXPECT_LT(perSecond, 2'000);
}

// Guards against a zone that never recovers, is recorded as lost twice, or is lost because an
// observer is partitioned.
TEST(ZoneReachability, LossAndRecovery)
{
    Network net(4, 2);
    net.run(20);
    const auto zoneOf = [](std::size_t i) { return i / 2; };
    SCOPED_TRACE("given that zone a is cut off from all others but reaches the log");
    net.isCut = [&](auto from, auto to) { return (zoneOf(from) == 0) != (zoneOf(to) == 0); };
    net.run(60);
    EXPECT_EQ(net.lost, std::vector<ZoneId>{ZoneId("zone-a")});
    EXPECT_EQ(net.records, 1);
    SCOPED_TRACE("when it is connected again, then it recovers within 30 s");
    net.isCut = [](auto, auto) { return false; };
    net.run(30);
    EXPECT_TRUE(net.lost.empty());
    SCOPED_TRACE("given that zone b does not reach the log, then it is lost");
    net.reachesLog = [&](auto self) { return zoneOf(self) != 1; };
    net.run(60);
    EXPECT_EQ(net.lost, std::vector<ZoneId>{ZoneId("zone-b")});
}

// Guards against recording a zone as lost when just two zones cannot reach each other.
TEST(ZoneReachability, NoLossAfterPairwiseAndOneWayCuts)
{
    Network net(4, 2);
    net.run(20);
    net.isCut = [](auto from, auto to) { return from / 2 == 0 && to / 2 == 1; };
    net.run(60);
    EXPECT_EQ(net.records, 0);
    SCOPED_TRACE("given only two zones, then neither is ever lost");
    Network pair(2, 2);
    pair.run(20);
    pair.isCut = [](auto from, auto to) { return from / 2 != to / 2; };
    pair.run(100);
    EXPECT_EQ(pair.records, 0);
}

// Guards against a zone that proposes others as lost although it hears only a minority itself, and
// against a loss that persists after the partition, for random patterns of one-way cuts.
TEST(ZoneReachability, RandomCuts)
{
    EXPECT_TRUE(rc::check("a zone that hears few others proposes nothing", [] {
        Network net(5, 1);
        net.run(20);
        const auto cuts = *rc::gen::container<std::vector<bool>>(25, rc::gen::arbitrary<bool>());
        net.isCut = [&](auto from, auto to) { return cuts[from * 5 + to]; };
        for (int i = 0; i < 80; ++i) {
            net.run(1);
            for (std::size_t self = 0; self < 5; ++self) {
                for (const ZoneChange &change : net.proposals[self]) {
                    std::size_t others = 0;
                    std::size_t heard = 0;
                    for (const PeerTable &other : net.tables) {
                        const auto &lost = net.lostBefore[self];
                        const bool isCounted =
                                other.zone != net.tables[self].zone && other.zone != change.zone
                                && std::find(lost.begin(), lost.end(), other.zone) == lost.end();
                        others += isCounted;
                        heard +=
                                isCounted
                                && zoneObservationOf(net.tables[self], other.zone, net.now).isHeard;
                    }
                    RC_ASSERT(!change.isLost || (heard > 0 && 2 * heard > others));
                }
            }
        }
        net.isCut = [](auto, auto) { return false; };
        net.run(60);
        RC_ASSERT(net.lost.empty());
    }));
}

// Guards against a crash of the peer thread caused by malformed messages.
TEST(Messages, ArbitraryBytes)
{
    Network net(2, 2);
    const auto valid = encode(nextHeartbeat(net.tables[0], net.now, false, true));
    EXPECT_TRUE(rc::check("decoding never throws", [&](std::vector<std::uint8_t> noise) {
        (void)decodeHeartbeat(noise);
        (void)decodeDigest(noise);
        auto damaged = valid;
        damaged[*rc::gen::inRange<std::size_t>(0, valid.size())] =
                *rc::gen::arbitrary<std::uint8_t>();
        (void)decodeHeartbeat(damaged);
        (void)decodeDigest(damaged);
    }));
}

}  // namespace
}  // namespace poplarstream::membership
