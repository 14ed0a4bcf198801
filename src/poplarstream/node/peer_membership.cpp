#include "poplarstream/node/peer_membership.hpp"

#include "poplarstream/membership/peer_queries.hpp"  // for digestTargets, livePeers
#include "poplarstream/node/peer_evidence.hpp"  // for findLeavingSubjects, knownSubjects
#include "poplarstream/node/peer_view.hpp"  // for makePeerView

namespace poplarstream {

namespace {

using membership::Channel;

constexpr Milliseconds cleanupPeriod{10'000};
// Every third heartbeat lists the heard zones, which are half of its bytes. The receiver keeps that
// list for 10 s, so two of them in a row may be lost.
constexpr std::uint32_t heartbeatsPerZoneList = 3;

bool isLeavingPeer(const PeerMembership &membership, const EntryHostId &peer)
{
    const auto found = membership.table.peers.find(peer);
    return found != membership.table.peers.end() && found->second.isLeaving;
}

bool recordGossipUpdates(PeerMembership &membership,
                         std::span<const membership::GossipUpdate> gossipUpdates, Channel channel,
                         TimePoint now)
{
    for (const membership::GossipUpdate &update : gossipUpdates) {
        recordGossipUpdate(membership.evidence, update, channel, now);
    }
    return !gossipUpdates.empty();
}

bool handle(PeerMembership &membership, const membership::Heartbeat &heartbeat, TimePoint now)
{
    const bool wasLeaving = isLeavingPeer(membership, heartbeat.from);
    if (!receive(membership.table, heartbeat, now)) {
        return false;
    }
    const bool hasEvidence =
            recordGossipUpdates(membership, heartbeat.gossipUpdates, Channel::Heartbeat, now);
    return hasEvidence || heartbeat.isLeaving != wasLeaving;
}

bool handle(PeerMembership &membership, const membership::Digest &digest, TimePoint now)
{
    return receive(membership.table, digest, now)
           && recordGossipUpdates(membership, digest.gossipUpdates, Channel::Digest, now);
}

}  // namespace

PeerMembership makePeerMembership(const membership::KnownPeer &self, std::uint32_t incarnation,
                                  std::span<const membership::KnownPeer> known, TimePoint now)
{
    PeerMembership result;
    result.table = membership::makePeerTable({}, self, incarnation, known, now);
    result.evidence.self = self.id.text();
    result.subjects = std::make_shared<const ServingView>(
            ServingView{.configuration = std::make_shared<const Configuration>()});
    return result;
}

void advance(PeerMembership &membership, TimePoint now)
{
    membership::advance(membership.table, now);
    if (now - membership.lastCleanup >= cleanupPeriod) {
        membership.lastCleanup = now;
        removeExpired(membership.evidence, knownSubjects(membership.evidence, *membership.subjects),
                      now);
    }
    observeZones(membership.zoneWatch, membership.table, now);
}

bool receive(PeerMembership &membership, const PeerMessage &message, TimePoint now)
{
    // After a pause of this process, messages arrive before the next tick.
    membership::advance(membership.table, now);
    return std::visit([&](const auto &content) { return handle(membership, content, now); },
                      message);
}

bool recordMinionEvidence(PeerMembership &membership, const MinionEvidence &seen, TimePoint now)
{
    if (!seen.isLeaving && !seen.hasRefusedConnection) {
        return false;
    }
    membership::EvidenceTable &evidence = membership.evidence;
    const std::string &subject = seen.minion.text();
    const membership::Claim claim =
            seen.isLeaving ? membership::Claim::Leaving : membership::Claim::Refused;
    const auto &observers = evidence.subjects[subject].byObserver;
    const auto own = observers.find(evidence.self);
    const bool isNew = own == observers.end() || own->second.claim != claim;
    if (seen.isLeaving) {
        recordResponse(evidence, subject, true, now);
    } else {
        recordFailure(evidence, subject, claim, now);
    }
    return isNew;
}

void recordPlatformState(PeerMembership &membership, std::span<const PlatformHost> hosts,
                         TimePoint now)
{
    for (const PlatformHost &host : hosts) {
        const std::string &subject = host.host.text();
        const bool isLeaving = host.state == "leaving";
        if (isLeaving || membership.evidence.subjects.contains(subject)) {
            recordPlatformState(membership.evidence, subject, isLeaving, now);
        }
    }
}

membership::Heartbeat prepareHeartbeat(PeerMembership &membership, TimePoint now)
{
    membership::Heartbeat heartbeat =
            nextHeartbeat(membership.table, now, membership.isLeaving, membership.isLogReachable);
    if (membership.heartbeats++ % heartbeatsPerZoneList != 0) {
        heartbeat.heardZones.clear();
    }
    heartbeat.gossipUpdates = collectGossipUpdates(membership.evidence, Channel::Heartbeat, now);
    return heartbeat;
}

DigestRound prepareDigests(PeerMembership &membership, TimePoint now)
{
    DigestRound round;
    // A digest marks its sender as live, so a leaving process sends none. The last process of a
    // zone continues, so that the zone does not appear lost while it drains.
    const auto own = livePeers(membership.table, membership.table.zone, now);
    if (membership.isLeaving && own.size() > 1) {
        return round;
    }
    round.targets = digestTargets(membership.table, now);
    if (!round.targets.empty()) {
        round.digest = nextDigest(membership.table, now, membership.isLogReachable);
        round.digest.gossipUpdates =
                collectGossipUpdates(membership.evidence, Channel::Digest, now);
    }
    return round;
}

PeerView viewOf(const PeerMembership &membership, TimePoint now)
{
    return makePeerView(membership.table, membership.isLeaving,
                        proposeZoneChanges(membership.zoneWatch, membership.table,
                                           membership.lostZones, membership.isLogReachable, {},
                                           now),
                        findLeavingSubjects(membership.evidence, *membership.subjects, now), now);
}

}  // namespace poplarstream
