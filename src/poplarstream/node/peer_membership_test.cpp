#include "poplarstream/node/peer_membership.hpp"

#include <iostream>  // for cout

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/node/peer_evidence.hpp"  // for findLeavingSubjects, knownSubjects
#include "poplarstream/node/peer_view.hpp"  // for peerChanges, seenPeers

namespace poplarstream {
namespace {

TimePoint at(int seconds)
{
    return timePoint(1'000'000) + std::chrono::seconds(seconds);
}

EntryHostId entryHost(int zone, int index)
{
    return EntryHostId("e" + std::to_string(zone) + "-" + std::to_string(index));
}

// Processes whose messages all arrive within the second in which they are sent.
struct Fleet
{
    Fleet(int zones, int hostsPerZone)
    {
        std::vector<membership::KnownPeer> known;
        for (int zone = 0; zone < zones; ++zone) {
            for (int i = 0; i < hostsPerZone; ++i) {
                known.push_back({entryHost(zone, i), ZoneId("z" + std::to_string(zone))});
            }
        }
        for (const auto &peer : known) {
            hosts.emplace(peer.id, makePeerMembership(peer, 1'700'000'000, known, at(0)));
        }
    }

    void send(const EntryHostId &to, const PeerMessage &message)
    {
        ++sent[senderOf(message)];
        sentBytes[senderOf(message)] += wireBytes(message);
        ++received[to];
        receive(hosts.at(to), message, at(second));
    }

    void runSecond()
    {
        ++second;
        for (auto &[id, host] : hosts) {
            advance(host, at(second));
            const membership::Heartbeat heartbeat = prepareHeartbeat(host, at(second));
            for (auto &[other, peer] : hosts) {
                if (other != id && peer.table.zone == host.table.zone) {
                    send(other, heartbeat);
                }
            }
            const DigestRound round = prepareDigests(host, at(second));
            for (const EntryHostId &target : round.targets) {
                send(target, round.digest);
            }
        }
    }

    static EntryHostId senderOf(const PeerMessage &message)
    {
        return std::visit([](const auto &content) { return content.from; }, message);
    }

    static std::size_t wireBytes(const PeerMessage &message)
    {
        return nlohmann::json::to_msgpack(peerMessageJson(message)).size();
    }

    std::map<EntryHostId, PeerMembership> hosts;
    std::map<EntryHostId, std::size_t> sent;
    std::map<EntryHostId, std::size_t> sentBytes;
    std::map<EntryHostId, std::size_t> received;
    int second = 0;
};

// A service with two minions on each of `count` hosts of one pool.
std::shared_ptr<const ServingView> viewOfHosts(int count)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->services.set({.id = ServiceId("s")});
    configuration->pools.set({.id = PoolId("p"), .services = {ServiceId("s")}});
    for (int i = 0; i < count; ++i) {
        const auto ip = 0x7f000001U + static_cast<std::uint32_t>(i);
        configuration->hosts.set({.id = HostId("h" + std::to_string(i)),
                                  .pool = PoolId("p"),
                                  .minions = {{ip, 7'000}, {ip, 7'001}}});
    }
    std::vector<ServingHost> hosts;
    for (const HostConfig &host : configuration->hosts) {
        hosts.push_back({&host, host.pool, true});
    }
    return std::make_shared<const ServingView>(
            makeServingView(1, configuration, hosts, EntryHostId("e"), ZoneId("z0"), 1));
}

// Guards against work that stays assigned to a stopping process, because its peers or the process
// itself still count it as live.
TEST(PeerMembership, LeavingProcess)
{
    Fleet fleet(2, 3);
    for (int i = 0; i < 3; ++i) {
        fleet.runSecond();
    }
    const EntryHostId leaver = entryHost(0, 0);
    PeerMembership &other = fleet.hosts.at(entryHost(0, 1));
    EXPECT_EQ(viewOf(other, at(3)).zoneLive.size(), 3U);
    EXPECT_EQ(viewOf(other, at(3)).allLive.size(), 6U);
    fleet.hosts.at(leaver).isLeaving = true;
    const auto heartbeat = prepareHeartbeat(fleet.hosts.at(leaver), at(3));
    SCOPED_TRACE("its heartbeat is an urgent change and removes it from the live peers");
    EXPECT_TRUE(receive(other, heartbeat, at(3)));
    EXPECT_EQ(viewOf(other, at(3)).zoneLive, (std::vector{entryHost(0, 1), entryHost(0, 2)}));
    EXPECT_EQ(viewOf(fleet.hosts.at(leaver), at(3)).zoneLive.size(), 2U);
    SCOPED_TRACE("it sends no digests, which would mark it as live in other zones");
    EXPECT_TRUE(prepareDigests(fleet.hosts.at(leaver), at(4)).targets.empty());
}

// Guards against a process that resumes after a pause, considers its peers dead because the first
// message is handled before the next tick, and takes over all their work.
TEST(PeerMembership, Pause)
{
    Fleet fleet(1, 3);
    for (int i = 0; i < 3; ++i) {
        fleet.runSecond();
    }
    PeerMembership &paused = fleet.hosts.at(entryHost(0, 0));
    receive(paused, prepareHeartbeat(fleet.hosts.at(entryHost(0, 1)), at(60)), at(60));
    EXPECT_EQ(viewOf(paused, at(60)).zoneLive.size(), 3U);
}

// Guards against new work for a leaving minion from an entry host of the zone that has not seen the
// minion's leaving mark itself.
TEST(PeerMembership, EvidenceReachesTheZone)
{
    Fleet fleet(1, 2);
    const auto view = viewOfHosts(4);
    for (auto &[id, host] : fleet.hosts) {
        host.subjects = view;
    }
    PeerMembership &observer = fleet.hosts.at(entryHost(0, 0));
    PeerMembership &other = fleet.hosts.at(entryHost(0, 1));
    const MinionId minion("127.0.0.2:7000");
    EXPECT_TRUE(recordMinionEvidence(observer, {.minion = minion, .isLeaving = true}, at(1)));
    EXPECT_FALSE(recordMinionEvidence(observer, {.minion = minion, .isLeaving = true}, at(1)));
    EXPECT_TRUE(receive(other, prepareHeartbeat(observer, at(2)), at(2)));
    EXPECT_EQ(viewOf(other, at(2)).leavingMinions, std::set{minion});
    EXPECT_EQ(viewOf(observer, at(2)).leavingMinions, std::set{minion});
}

// Guards against a service that loses its last minion on the claim of one peer, because another
// service of the same minion has more minions.
TEST(PeerMembership, LastMinionOfAService)
{
    ServingView view = *viewOfHosts(4);
    view.traffic.pools = {{PoolId("p"), {ServiceId("s")}},
                          {PoolId("q"), {ServiceId("s"), ServiceId("t")}}};
    view.traffic.minions.front().pool = PoolId("q");
    const std::string last = view.traffic.minions.front().id.text();
    const std::string other = view.traffic.minions.back().id.text();
    membership::EvidenceTable evidence;
    evidence.self = "e";
    for (const std::string &subject : {last, other}) {
        recordGossipUpdate(evidence, {subject, membership::Claim::Leaving, 0, "peer"},
                           membership::Channel::Heartbeat, at(1));
    }
    EXPECT_EQ(findLeavingSubjects(evidence, view, at(1)).minions, std::set{MinionId(other)});
}

// Guards against a platform host list that takes a whole pool out of use, and against memory that
// grows with evidence about unknown subjects.
TEST(PeerMembership, ListedHosts)
{
    Fleet fleet(1, 1);
    PeerMembership &host = fleet.hosts.at(entryHost(0, 0));
    host.subjects = viewOfHosts(6);
    std::vector<PlatformHost> list;
    for (int i = 0; i < 6; ++i) {
        list.push_back({HostId("h" + std::to_string(i)), "leaving"});
    }
    recordPlatformState(host, list, at(1));
    EXPECT_EQ(viewOf(host, at(1)).leavingHosts.size(), 2U);  // a third of the pool
    recordPlatformState(
            host, std::vector<PlatformHost>{{HostId("h0"), "live"}, {HostId("h9"), "leaving"}},
            at(2));
    EXPECT_FALSE(viewOf(host, at(2)).leavingHosts.contains(HostId("h0")));
    EXPECT_TRUE(host.evidence.subjects.contains("h9"));
    advance(host, at(30));
    EXPECT_FALSE(host.evidence.subjects.contains("h9"));
    EXPECT_TRUE(host.evidence.subjects.contains("h1"));
}

// Guards against an event for each heartbeat, and against a planned stop reported as a failure.
TEST(PeerMembership, Events)
{
    const membership::PeerTable table = [] {
        Fleet fleet(1, 3);
        fleet.runSecond();
        return fleet.hosts.at(entryHost(0, 0)).table;
    }();
    const SeenPeers both = seenPeers(table, at(1));
    EXPECT_EQ(peerChanges({}, both, table).seen.size(), 2U);
    EXPECT_TRUE(peerChanges(both, both, table).seen.empty());
    EXPECT_EQ(peerChanges(both, seenPeers(table, at(20)), table).suspected.size(), 2U);
    membership::PeerTable leaving = table;
    leaving.peers.at(entryHost(0, 1)).isLeaving = true;
    EXPECT_EQ(peerChanges(both, {}, leaving).suspected, std::vector{entryHost(0, 2)});
}

// Guards against control traffic above 2 KB/s for each entry host at the size in two years. The
// figure is computed: MessagePack bytes, 8 bytes of nng (SP) framing, 52 bytes of IPv4 and TCP
// headers with timestamps for each message, and as much for the acknowledgement of each received
// one.
TEST(PeerMembership, BytesPerSecond)
{
    Fleet fleet(15, 8);
    for (int i = 0; i < 8; ++i) {
        fleet.runSecond();
    }
    fleet.sent.clear();
    fleet.sentBytes.clear();
    fleet.received.clear();
    // A multiple of the cycles in which heartbeats list zones and digests reach all peers.
    constexpr int seconds = 24;
    for (int i = 0; i < seconds; ++i) {
        fleet.runSecond();
    }
    constexpr std::size_t headers = 8 + 52;
    constexpr std::size_t acknowledgement = 52;
    std::size_t most = 0;
    std::size_t mostWithAcknowledgements = 0;
    std::size_t total = 0;
    for (const auto &[id, count] : fleet.sent) {
        const std::size_t bytes = fleet.sentBytes.at(id) + headers * count;
        total += bytes;
        most = std::max(most, bytes / seconds);
        mostWithAcknowledgements =
                std::max(mostWithAcknowledgements,
                         (bytes + acknowledgement * fleet.received.at(id)) / seconds);
    }
    std::cout << "bytes sent a second: mean " << total / fleet.hosts.size() / seconds << ", most "
              << most << ", most with acknowledgements " << mostWithAcknowledgements << '\n';
    EXPECT_LE(mostWithAcknowledgements, 2'000U);
}

}  // namespace
}  // namespace poplarstream
