#include "poplarstream/membership/zone_reachability.hpp"

#include <algorithm>  // for find

#include "poplarstream/membership/peer_queries.hpp"  // for sightOf, rendezvousRank, livePeers

namespace poplarstream::membership {
namespace {

bool isUsable(const ZoneSight &sight)
{
    if (sight.isHeard) {
        return sight.reachesLog;
    }
    return sight.isHeardElsewhere;
}

bool contains(const std::vector<ZoneId> &zones, const ZoneId &zone)
{
    return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

// Whether this process hears enough of the other zones to assessUsability `subject`.
bool canJudge(const PeerTable &table, const std::vector<ZoneId> &lost, const ZoneId &subject,
              TimePoint now)
{
    std::size_t others = 0;
    std::size_t heard = 0;
    for (const auto &[id, entry] : table.zones) {
        if (id == subject || contains(lost, id)) {
            continue;
        }
        ++others;
        heard += sightOf(table, id, now).isHeard ? 1 : 0;
    }
    return heard > 0 && 2 * heard > others;
}

bool isConnected(const PeerTable &table, TimePoint now)
{
    return std::any_of(table.zones.begin(), table.zones.end(), [&](const auto &zone) {
        const ZoneSight sight = sightOf(table, zone.first, now);
        return sight.isHeard && sight.hearsUs;
    });
}

}  // namespace

void observeZones(ZoneWatch &watch, const PeerTable &table, TimePoint now)
{
    // A pause or a jump of the clock is no time for which a zone was seen.
    const Milliseconds gap = now - watch.lastObserved.value_or(now);
    const bool isJump = gap > table.policy.longestTick || gap < Milliseconds{0};
    watch.lastObserved = now;
    for (const auto &[id, entry] : table.zones) {
        // A zone that was never heard is given the time of a digest from the start on.
        const bool isNew = now - entry.knownSince <= table.policy.digestFreshFor;
        const bool usable = isUsable(sightOf(table, id, now)) || (isNew && !entry.heardAt);
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
        const Milliseconds hold = entry.isUsable ? policy.foundAfter : policy.lostAfter;
        if (now - entry.since < hold + delay) {
            continue;
        }
        if (entry.isUsable || canJudge(table, lost, id, now)) {
            changes.push_back({id, !entry.isUsable});
        }
    }
    return changes;
}

}  // namespace poplarstream::membership
