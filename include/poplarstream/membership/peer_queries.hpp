#pragma once

#include <cstdint>  // for uint32_t
#include <span>  // for span
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for EntryHostId, ZoneId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/membership/peer_table.hpp"  // for PeerTable

namespace poplarstream::membership {

// Live: this process and the peer hear from each other. OneWay: this process hears from the peer,
// but not the reverse. Indirect: only other processes hear from the peer. Suspect and Dead: no
// process has heard from the peer for some time.
enum class PeerState { Live, OneWay, Indirect, Suspect, Dead };

PeerState stateOf(const PeerTable &table, const EntryHostId &peer, TimePoint now);

// The processes of the zone that work can be shared among, sorted: this process, and all peers that
// are not leaving and that some process hears from. An empty `zone` means all zones.
std::vector<EntryHostId> livePeers(const PeerTable &table, const ZoneId &zone, TimePoint now);

// The peers in rendezvous order for `key`, such as the name of a lease: the first should act, the
// second if the first does not, and so on. All processes that see the same peers compute the same
// order.
std::vector<EntryHostId> rendezvousOrder(std::string_view key, std::span<const EntryHostId> peers);

// The position of `self` in the rendezvous order, or the number of peers if `self` is not one.
std::uint32_t rendezvousRank(std::string_view key, std::span<const EntryHostId> peers,
                             const EntryHostId &self);

// Whether this process paused or its clock jumped within PeerPolicy::recentPauseWindow.
bool hasPausedRecently(const PeerTable &table, TimePoint now);

// The peers to send a digest to now: one of each other zone that this process is responsible for.
// The targets rotate each second.
std::vector<EntryHostId> digestTargets(const PeerTable &table, TimePoint now);

// What this process knows about another zone.
struct ZoneObservation
{
    bool isHeard = false;  // by this process or a peer of the own zone
    bool isHeardByOtherZone = false;  // as reported by a third zone
    bool hearsUs = false;
    bool reachesLog = false;
};

ZoneObservation zoneObservationOf(const PeerTable &table, const ZoneId &zone, TimePoint now);

}  // namespace poplarstream::membership
