#pragma once

#include <cstdint>  // for uint32_t
#include <span>  // for span
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for EntryHostId, ZoneId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/membership/peer_table.hpp"  // for PeerTable

namespace poplarstream::membership {

// Live: heard, and it hears us. OneWay: heard, but it does not hear us. Indirect: not heard by us,
// but by another process. Suspect and Dead: heard by nobody for some time.
enum class PeerState { Live, OneWay, Indirect, Suspect, Dead };

PeerState stateOf(const PeerTable &table, const EntryHostId &peer, TimePoint now);

// The processes that can share duties, sorted, with self unless it is leaving: all that somebody
// hears and that are not leaving. With `zone` empty, those of all zones.
std::vector<EntryHostId> livePeers(const PeerTable &table, const ZoneId &zone, TimePoint now);

// The live processes in the rendezvous order for a duty: the first should act, the second when the
// first does not, and so on. Every process that sees the same peers computes the same order.
std::vector<EntryHostId> dutyOrder(std::string_view duty, std::span<const EntryHostId> peers);

// The position of `self` in the order; the length of the order if it is not in it.
std::uint32_t rendezvousRank(std::string_view duty, std::span<const EntryHostId> peers,
                             const EntryHostId &self);

// Whether this process paused, or its clock jumped, within PeerPolicy::unfitFor.
bool hasPausedRecently(const PeerTable &table, TimePoint now);

// The peers to send a digest to now: one of each other zone that this process is responsible for,
// another one each second.
std::vector<EntryHostId> digestTargets(const PeerTable &table, TimePoint now);

// What this process knows of a zone.
struct ZoneSight
{
    bool isHeard = false;  // by this process or a peer of its zone
    bool isHeardElsewhere = false;  // another zone says that it hears it
    bool hearsUs = false;
    bool reachesLog = false;
};

ZoneSight sightOf(const PeerTable &table, const ZoneId &zone, TimePoint now);

}  // namespace poplarstream::membership
