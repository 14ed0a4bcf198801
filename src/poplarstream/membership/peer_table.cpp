#include "poplarstream/membership/peer_table.hpp"

#include <algorithm>  // for find
#include <utility>  // for move

#include "poplarstream/membership/peer_queries.hpp"  // for stateOf, livePeers, zoneObservationOf

namespace poplarstream::membership {
namespace {

bool contains(const std::vector<ShortName> &names, ShortName name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// Keeps the incarnation that the peer has now among its earlier ones.
void rememberEarlierIncarnation(PeerEntry &peer)
{
    peer.earlierIncarnations.push_back(peer.incarnation);
    if (peer.earlierIncarnations.size() > maxEarlierIncarnations) {
        peer.earlierIncarnations.erase(peer.earlierIncarnations.begin());
    }
}

// Whether a message is newer than all that were received from the peer. The numbers of incarnations
// have no order: one that was not seen before belongs to a process that has started later, and
// messages of an earlier one count only once the present one is suspect.
bool isNewer(const PeerTable &table, const PeerEntry &peer, std::uint32_t incarnation,
             std::uint32_t sequence, TimePoint now)
{
    if (!peer.heardAt) {
        return true;
    }
    if (incarnation == peer.incarnation) {
        return sequence > peer.sequence;
    }
    const auto &earlier = peer.earlierIncarnations;
    return std::find(earlier.begin(), earlier.end(), incarnation) == earlier.end()
           || now - *peer.heardAt > table.policy.suspectAfter;
}

// Records incarnation and sequence number of a message. Returns false for an outdated message.
bool acceptSequence(const PeerTable &table, PeerEntry &peer, std::uint32_t incarnation,
                    std::uint32_t sequence, TimePoint now)
{
    if (!isNewer(table, peer, incarnation, sequence, now)) {
        return false;
    }
    if (incarnation != peer.incarnation) {
        if (peer.heardAt) {
            rememberEarlierIncarnation(peer);
        }
        PeerEntry fresh;
        fresh.zone = peer.zone;
        fresh.earlierIncarnations = std::move(peer.earlierIncarnations);
        std::erase(fresh.earlierIncarnations, incarnation);
        peer = std::move(fresh);
    }
    peer.incarnation = incarnation;
    peer.sequence = sequence;
    peer.heardAt = now;
    return true;
}

void shift(std::optional<TimePoint> &time, Milliseconds by)
{
    if (time) {
        *time += by;
    }
}

void shiftAll(PeerTable &table, Milliseconds by)
{
    for (auto &[id, peer] : table.peers) {
        shift(peer.heardAt, by);
        shift(peer.confirmedAt, by);
    }
    for (auto &[id, zone] : table.zones) {
        shift(zone.heardAt, by);
        shift(zone.confirmedAt, by);
        shift(zone.confirmedByOtherZoneAt, by);
        shift(zone.hearsUsAt, by);
        shift(zone.logReachableAt, by);
        zone.knownSince += by;
    }
    table.startedAt += by;
}

std::vector<ShortName> heardZones(const PeerTable &table, TimePoint now)
{
    std::vector<ShortName> names;
    for (const auto &[id, zone] : table.zones) {
        if (zone.heardAt && now - *zone.heardAt <= table.policy.suspectAfter) {
            names.push_back(shortName(id.text()));
        }
    }
    return names;
}

}  // namespace

PeerTable makePeerTable(const PeerPolicy &policy, const KnownPeer &self, std::uint32_t incarnation,
                        std::span<const KnownPeer> known, TimePoint now)
{
    PeerTable table;
    table.policy = policy;
    table.self = self.id;
    table.zone = self.zone;
    table.incarnation = incarnation;
    table.startedAt = now;
    table.lastTick = now;
    setKnownPeers(table, known);
    return table;
}

void setKnownPeers(PeerTable &table, std::span<const KnownPeer> known)
{
    std::map<EntryHostId, PeerEntry> peers;
    std::map<ZoneId, ZoneEntry> zones;
    for (const KnownPeer &peer : known) {
        if (peer.id == table.self) {
            continue;
        }
        const auto old = table.peers.find(peer.id);
        PeerEntry &entry = peers[peer.id];
        if (old != table.peers.end()) {
            entry = old->second;
        }
        entry.zone = peer.zone;
        if (peer.zone != table.zone) {
            const auto oldZone = table.zones.find(peer.zone);
            ZoneEntry fresh;
            fresh.knownSince = table.lastTick;
            zones.try_emplace(peer.zone, oldZone != table.zones.end() ? oldZone->second : fresh);
        }
    }
    table.peers = std::move(peers);
    table.zones = std::move(zones);
}

bool receive(PeerTable &table, const Heartbeat &heartbeat, TimePoint now)
{
    const auto it = table.peers.find(heartbeat.from);
    if (it == table.peers.end() || it->second.zone != table.zone
        || !acceptSequence(table, it->second, heartbeat.incarnation, heartbeat.sequence, now)) {
        return false;
    }
    it->second.isLeaving = heartbeat.isLeaving;
    it->second.isLogReachable = heartbeat.isLogReachable;
    it->second.hearsUs = contains(heartbeat.heard, shortName(table.self.text()));
    for (auto &[id, peer] : table.peers) {
        if (peer.zone == table.zone && contains(heartbeat.heard, shortName(id.text()))) {
            peer.confirmedAt = now;
        }
    }
    for (auto &[id, zone] : table.zones) {
        if (contains(heartbeat.heardZones, shortName(id.text()))) {
            zone.confirmedAt = now;
        }
    }
    return true;
}

bool receive(PeerTable &table, const Digest &digest, TimePoint now)
{
    const auto it = table.peers.find(digest.from);
    const auto zone = table.zones.find(digest.zone);
    if (it == table.peers.end() || zone == table.zones.end() || it->second.zone != digest.zone
        || !acceptSequence(table, it->second, digest.incarnation, digest.sequence, now)) {
        return false;
    }
    it->second.isLogReachable = digest.isLogReachable;
    zone->second.heardAt = now;
    if (digest.isLogReachable) {
        zone->second.logReachableAt = now;
    }
    if (contains(digest.heardZones, shortName(table.zone.text()))) {
        zone->second.hearsUsAt = now;
        it->second.hearsUs = true;
    }
    for (auto &[id, peer] : table.peers) {
        if (peer.zone == digest.zone && contains(digest.live, shortName(id.text()))) {
            peer.confirmedAt = now;
        }
    }
    for (auto &[id, other] : table.zones) {
        if (id != digest.zone && contains(digest.heardZones, shortName(id.text()))) {
            other.confirmedByOtherZoneAt = now;
        }
    }
    return true;
}

void advance(PeerTable &table, TimePoint now)
{
    const Milliseconds gap = now - table.lastTick;
    if (gap > table.policy.maxTickGap) {
        shiftAll(table, gap - table.policy.period);
        table.pausedAt = now;
    } else if (gap < Milliseconds{0}) {
        shiftAll(table, gap);
        table.pausedAt = now;
    }
    table.lastTick = now;
}

Heartbeat nextHeartbeat(PeerTable &table, TimePoint now, bool isLeaving, bool isLogReachable)
{
    Heartbeat heartbeat{table.self,
                        table.incarnation,
                        ++table.sequence,
                        isLeaving,
                        isLogReachable,
                        {},
                        heardZones(table, now),
                        {}};
    for (const auto &[id, peer] : table.peers) {
        const bool isHeard = peer.heardAt && now - *peer.heardAt <= table.policy.suspectAfter;
        if (peer.zone == table.zone && isHeard) {
            heartbeat.heard.push_back(shortName(id.text()));
        }
    }
    return heartbeat;
}

Digest nextDigest(PeerTable &table, TimePoint now, bool isLogReachable)
{
    Digest digest{table.self, table.zone, table.incarnation, ++table.sequence, isLogReachable, {},
                  {},         {}};
    for (const EntryHostId &peer : livePeers(table, table.zone, now)) {
        digest.live.push_back(shortName(peer.text()));
    }
    for (const auto &[id, zone] : table.zones) {
        if (zoneObservationOf(table, id, now).isHeard) {
            digest.heardZones.push_back(shortName(id.text()));
        }
    }
    return digest;
}

}  // namespace poplarstream::membership
