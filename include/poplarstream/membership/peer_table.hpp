#pragma once

#include <cstdint>  // for uint32_t
#include <map>  // for map
#include <optional>  // for optional
#include <set>  // for set
#include <span>  // for span
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for EntryHostId, ZoneId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/membership/messages.hpp"  // for Heartbeat, Digest

namespace poplarstream::membership {

struct PeerPolicy
{
    Milliseconds period{1'000};
    // A peer is suspect after three lost heartbeats in a row and dead after six.
    Milliseconds suspectAfter{3'500};
    Milliseconds deadAfter{6'500};
    // A longer gap between two calls of advance() is a pause of this process or a jump of its
    // clock, and is not counted against the peers.
    Milliseconds maxTickGap{3'000};
    // How long a pause counts against this process as a candidate for a lease.
    Milliseconds recentPauseWindow{60'000};
    // Number of entry hosts of a zone that send digests to one other zone. With two, the zone is
    // still heard when one link fails in one direction.
    std::uint32_t digestSenders = 2;
    // How long a digest remains valid. With 8 entry hosts per zone, a process receives a digest of
    // another zone every 4 s, so two may be lost.
    Milliseconds digestFreshFor{10'000};
};

// An entry host from the settings, and its zone.
struct KnownPeer
{
    EntryHostId id;
    ZoneId zone;
};

// Messages of an earlier process arrive at most seconds after it has ended. Even a peer that
// crashes in a loop starts no more often than this in that time.
inline constexpr std::size_t maxEarlierIncarnations = 8;

struct PeerEntry
{
    ZoneId zone;
    std::uint32_t incarnation = 0;
    std::vector<std::uint32_t> earlierIncarnations;  // the latest ones, oldest first
    std::uint32_t sequence = 0;
    std::optional<TimePoint> heardAt;  // from the peer itself
    std::optional<TimePoint> confirmedAt;  // another process reported hearing from the peer
    bool isLeaving = false;
    bool hearsUs = false;
    bool isLogReachable = false;
};

struct ZoneEntry
{
    std::optional<TimePoint> heardAt;  // this process received a digest of the zone
    std::optional<TimePoint> confirmedAt;  // a peer of the own zone reported hearing the zone
    std::optional<TimePoint> confirmedByOtherZoneAt;  // another zone reported hearing the zone
    std::optional<TimePoint> hearsUsAt;  // the zone reported hearing the own zone
    std::optional<TimePoint> logReachableAt;  // the zone reported that it reaches the log
    TimePoint knownSince;
};

// The membership view of one process. All times are of the local steady clock.
struct PeerTable
{
    PeerPolicy policy;
    EntryHostId self;
    ZoneId zone;
    std::uint32_t incarnation = 0;
    std::uint32_t sequence = 0;
    TimePoint startedAt;
    TimePoint lastTick;
    std::optional<TimePoint> pausedAt;  // end of the last pause or jump of the clock
    std::map<EntryHostId, PeerEntry> peers;  // without self
    std::map<ZoneId, ZoneEntry> zones;  // without the own zone
};

// `known` holds the entry hosts of the settings, possibly including self.
PeerTable makePeerTable(const PeerPolicy &policy, const KnownPeer &self, std::uint32_t incarnation,
                        std::span<const KnownPeer> known, TimePoint now);

// Replaces the list of known peers. The state of peers that are in both lists is kept.
void setKnownPeers(PeerTable &table, std::span<const KnownPeer> known);

// Applies a message. Returns false if it is outdated (an old sequence number or incarnation), from
// an unknown peer or from self. An incarnation that the peer has not had before replaces the known
// one at once, whatever its number. One that it had before is accepted once the known one is
// suspect, in case a late message of an earlier process was the first that was received of it.
bool receive(PeerTable &table, const Heartbeat &heartbeat, TimePoint now);
bool receive(PeerTable &table, const Digest &digest, TimePoint now);

// Must be called at least once per PeerPolicy::period, before the queries. After a pause or a clock
// jump in either direction, shifts all times so that it is not counted against the peers.
void advance(PeerTable &table, TimePoint now);

// Builds the next message with its sequence number. The caller adds gossip updates.
Heartbeat nextHeartbeat(PeerTable &table, TimePoint now, bool isLeaving, bool isLogReachable);
Digest nextDigest(PeerTable &table, TimePoint now, bool isLogReachable);

}  // namespace poplarstream::membership
