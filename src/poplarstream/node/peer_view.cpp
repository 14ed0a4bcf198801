#include "poplarstream/node/peer_view.hpp"

#include <algorithm>  // for equal, stable_partition

#include "control_core.hpp"  // for controlStreamName
#include "poplarstream/membership/peer_queries.hpp"  // for livePeers, stateOf

namespace poplarstream {

namespace {

using membership::PeerTable;

bool isHeard(const PeerTable &table, const EntryHostId &peer, TimePoint now)
{
    using State = membership::PeerState;
    const State state = membership::stateOf(table, peer, now);
    return state == State::Live || state == State::OneWay || state == State::Indirect;
}

}  // namespace

PeerView makePeerView(const PeerTable &table, bool isLeaving,
                      std::vector<membership::ZoneChange> zoneChanges, LeavingSubjects leaving,
                      TimePoint now)
{
    PeerView view;
    view.zoneLive = membership::livePeers(table, table.zone, now);
    view.allLive = membership::livePeers(table, ZoneId(), now);
    if (isLeaving) {
        std::erase(view.zoneLive, table.self);
        std::erase(view.allLive, table.self);
    }
    view.zones[table.self] = table.zone;
    for (const auto &[id, peer] : table.peers) {
        view.zones[id] = peer.zone;
    }
    view.zoneChanges = std::move(zoneChanges);
    view.leavingMinions = std::move(leaving.minions);
    view.leavingHosts = std::move(leaving.hosts);
    return view;
}

bool isSameView(const PeerView &a, const PeerView &b)
{
    return a.zoneLive == b.zoneLive && a.allLive == b.allLive && a.zones == b.zones
           && a.leavingMinions == b.leavingMinions && a.leavingHosts == b.leavingHosts
           && std::equal(a.zoneChanges.begin(), a.zoneChanges.end(), b.zoneChanges.begin(),
                         b.zoneChanges.end(), [](const auto &x, const auto &y) {
                             return x.zone == y.zone && x.isLost == y.isLost;
                         });
}

SeenPeers seenPeers(const PeerTable &table, TimePoint now)
{
    SeenPeers seen;
    for (const auto &[id, peer] : table.peers) {
        if (isHeard(table, id, now)) {
            seen[id] = peer.incarnation;
        }
    }
    return seen;
}

PeerChanges peerChanges(const SeenPeers &before, const SeenPeers &after, const PeerTable &table)
{
    PeerChanges changes;
    for (const auto &[id, incarnation] : after) {
        const auto known = before.find(id);
        // A peer confirmed only by other peers has incarnation 0 until it is heard directly.
        if (known == before.end() || (known->second != incarnation && known->second != 0)) {
            changes.seen.push_back(id);
        }
    }
    for (const auto &[id, incarnation] : before) {
        const auto peer = table.peers.find(id);
        if (!after.contains(id) && peer != table.peers.end() && !peer->second.isLeaving) {
            changes.suspected.push_back(id);
        }
    }
    return changes;
}

std::vector<EntryHostId> stateHolders(const PeerTable &table, const std::string &stream,
                                      TimePoint now)
{
    std::vector<EntryHostId> holders;
    for (const auto &[id, peer] : table.peers) {
        const bool isEligible = peer.zone == table.zone || stream == controlStreamName;
        if (isEligible && isHeard(table, id, now)) {
            holders.push_back(id);
        }
    }
    std::stable_partition(holders.begin(), holders.end(), [&](const EntryHostId &id) {
        return table.peers.at(id).zone == table.zone;
    });
    return holders;
}

}  // namespace poplarstream
