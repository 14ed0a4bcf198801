#include "poplarstream/membership/zone_reachability.hpp"

#include <algorithm>  // for any_of, find

#include "poplarstream/membership/peer_queries.hpp"  // for zoneObservationOf, rendezvousRank, livePeers

namespace poplarstream::membership {
namespace {

bool isUsable(const ZoneObservation &observation)
{
    if (observation.isHeard) {
        return observation.reachesLog;
    }
    return observation.isHeardByOtherZone;
}

bool contains(const std::vector<ZoneId> &zones, const ZoneId &zone)
{
    return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

// Whether this process hears at least one, and the majority, of the other zones that are not lost,
// not counting `subject`.
bool hearsMajority(const PeerTable &table, const std::vector<ZoneId> &lost, const ZoneId &subject,
                   TimePoint now)
{
    std::size_t others = 0;
    std::size_t heard = 0;
    for (const auto &[id, entry] : table.zones) {
        if (id == subject || contains(lost, id)) {
            continue;
        }
        ++others;
        heard += zoneObservationOf(table, id, now).isHeard ? 1 : 0;
    }
    return heard > 0 && 2 * heard > others;
}

bool isConnected(const PeerTable &table, TimePoint now)
{
    return std::any_of(table.zones.begin(), table.zones.end(), [&](const auto &zone) {
        const ZoneObservation observation = zoneObservationOf(table, zone.first, now);
        return observation.isHeard && observation.hearsUs;
    });
}

}  // namespace

void observeZones(ZoneWatch &watch, const PeerTable &table, TimePoint now)
{
    // A pause or a clock jump does not count as time in which a zone was observed.
    const Milliseconds gap = now - watch.lastObserved.value_or(now);
    const bool isJump = gap > table.policy.maxTickGap || gap < Milliseconds{0};
    watch.lastObserved = now;
    for (const auto &[id, entry] : table.zones) {
        // A new zone counts as usable until its first digest is due.
        const bool isNew = now - entry.knownSince <= table.policy.digestFreshFor;
        const bool usable =
                isUsable(zoneObservationOf(table, id, now)) || (isNew && !entry.heardAt);
        const auto [it, isFirst] = watch.zones.try_emplace(id, ZoneWatch::Entry{usable, now});
        if (isFirst || it->second.isUsable != usable) {
            it->second = {usable, now};
        } else if (isJump) {
            it->second.since += gap;
        }
    }
}

std::vector<ZoneChange> proposeZoneChanges(const ZoneWatch &watch, const PeerTable &table,
                                           const std::vector<ZoneId> &lost, bool isLogReachable,
                                           const ZonePolicy &policy, TimePoint now)
{
    std::vector<ZoneChange> changes;
    if (!isLogReachable) {
        return changes;
    }
    if (contains(lost, table.zone)) {
        if (isConnected(table, now)) {
            changes.push_back({table.zone, false});
        }
        return changes;
    }
    const std::vector<EntryHostId> live = livePeers(table, ZoneId(), now);
    for (const auto &[id, entry] : watch.zones) {
        const auto known = table.zones.find(id);
        if (known == table.zones.end() || entry.isUsable != contains(lost, id)) {
            continue;
        }
        const Milliseconds delay =
                policy.rankDelay * rendezvousRank("zone:" + id.text(), live, table.self);
        const Milliseconds hold = entry.isUsable ? policy.recoveredAfter : policy.lostAfter;
        if (now - entry.since < hold + delay) {
            continue;
        }
        if (entry.isUsable || hearsMajority(table, lost, id, now)) {
            changes.push_back({id, !entry.isUsable});
        }
    }
    return changes;
}

}  // namespace poplarstream::membership
