#include "poplarstream/membership/peer_queries.hpp"

#include <algorithm>  // for sort, find, max, min
#include <utility>  // for pair

#include "poplarstream/base/rendezvous.hpp"  // for rendezvousScore

namespace poplarstream::membership {
namespace {

bool isWithin(const std::optional<TimePoint> &time, Milliseconds bound, TimePoint now)
{
    return time && now - *time <= bound;
}

}  // namespace

PeerState stateOf(const PeerTable &table, const EntryHostId &peer, TimePoint now)
{
    const auto it = table.peers.find(peer);
    if (it == table.peers.end()) {
        return PeerState::Dead;
    }
    const PeerEntry &entry = it->second;
    const PeerPolicy &policy = table.policy;
    const Milliseconds freshFor =
            entry.zone == table.zone ? policy.suspectAfter : policy.digestFreshFor;
    if (isWithin(entry.heardAt, freshFor, now)) {
        return entry.hearsUs ? PeerState::Live : PeerState::OneWay;
    }
    // Other processes may confirm a peer that they last heard from up to `suspectAfter` ago.
    if (isWithin(entry.confirmedAt, freshFor, now)) {
        return PeerState::Indirect;
    }
    // A peer that this process never heard from directly is dead, not suspect.
    TimePoint last = std::max(table.startedAt, entry.heardAt.value_or(table.startedAt));
    last = std::max(last, entry.confirmedAt.value_or(last));
    return now - last <= policy.deadAfter && entry.heardAt ? PeerState::Suspect : PeerState::Dead;
}

std::vector<EntryHostId> livePeers(const PeerTable &table, const ZoneId &zone, TimePoint now)
{
    std::vector<EntryHostId> live;
    if (zone.isEmpty() || zone == table.zone) {
        live.push_back(table.self);
    }
    for (const auto &[id, peer] : table.peers) {
        if ((!zone.isEmpty() && peer.zone != zone) || peer.isLeaving) {
            continue;
        }
        const PeerState state = stateOf(table, id, now);
        if (state == PeerState::Live || state == PeerState::OneWay
            || state == PeerState::Indirect) {
            live.push_back(id);
        }
    }
    std::sort(live.begin(), live.end());
    return live;
}

std::vector<EntryHostId> rendezvousOrder(std::string_view key, std::span<const EntryHostId> peers)
{
    std::vector<std::pair<std::uint64_t, EntryHostId>> scored;
    scored.reserve(peers.size());
    for (const EntryHostId &peer : peers) {
        scored.emplace_back(rendezvousScore(key, peer.text()), peer);
    }
    std::sort(scored.begin(), scored.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    std::vector<EntryHostId> order;
    order.reserve(scored.size());
    for (auto &[score, peer] : scored) {
        order.push_back(std::move(peer));
    }
    return order;
}

std::uint32_t rendezvousRank(std::string_view key, std::span<const EntryHostId> peers,
                             const EntryHostId &self)
{
    const std::vector<EntryHostId> order = rendezvousOrder(key, peers);
    return static_cast<std::uint32_t>(std::find(order.begin(), order.end(), self) - order.begin());
}

bool hasPausedRecently(const PeerTable &table, TimePoint now)
{
    return isWithin(table.pausedAt, table.policy.recentPauseWindow, now);
}

std::vector<EntryHostId> digestTargets(const PeerTable &table, TimePoint now)
{
    std::vector<EntryHostId> targets;
    const std::vector<EntryHostId> own = livePeers(table, table.zone, now);
    const auto second = static_cast<std::size_t>(
            std::max<std::int64_t>(0, now.time_since_epoch() / table.policy.period));
    const auto self =
            static_cast<std::size_t>(std::find(own.begin(), own.end(), table.self) - own.begin());
    const std::size_t senders = std::min<std::size_t>(table.policy.digestSenders, own.size());
    // Senders are assigned to the zones round-robin, so that the numbers of digests of two
    // processes of a zone differ by at most one.
    std::size_t zoneStart = 0;
    for (const auto &[zone, entry] : table.zones) {
        const std::size_t first = zoneStart;
        zoneStart += senders;
        std::size_t rank = 0;
        while (rank < senders && (first + rank) % own.size() != self) {
            ++rank;
        }
        if (rank == senders) {
            continue;
        }
        // All known peers, not only live ones, so that a lost zone is contacted again.
        std::vector<EntryHostId> known;
        for (const auto &[id, peer] : table.peers) {
            if (peer.zone == zone) {
                known.push_back(id);
            }
        }
        // The senders address different peers, so that each peer receives digests more often.
        const std::size_t offset = rank * known.size() / senders;
        targets.push_back(known[(second + offset) % known.size()]);
    }
    return targets;
}

ZoneObservation zoneObservationOf(const PeerTable &table, const ZoneId &zone, TimePoint now)
{
    ZoneObservation observation;
    const auto it = table.zones.find(zone);
    if (it == table.zones.end()) {
        return observation;
    }
    const Milliseconds bound = table.policy.digestFreshFor;
    const ZoneEntry &entry = it->second;
    observation.isHeard =
            isWithin(entry.heardAt, bound, now) || isWithin(entry.confirmedAt, bound, now);
    observation.isHeardByOtherZone = isWithin(entry.confirmedByOtherZoneAt, bound, now);
    observation.hearsUs = isWithin(entry.hearsUsAt, bound, now);
    observation.reachesLog = isWithin(entry.logReachableAt, bound, now);
    return observation;
}

}  // namespace poplarstream::membership
