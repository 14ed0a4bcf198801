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
    // Three lost heartbeats in a row make a suspect, six a dead peer.
    Milliseconds suspectAfter{3'500};
    Milliseconds deadAfter{6'500};
    // A gap between two calls of advance() above this is a pause of this process or a jump of its
    // clock, and no evidence against peers.
    Milliseconds longestTick{3'000};
    // How long a pause counts against the process for duties that one at a time should do.
    Milliseconds unfitFor{60'000};
    // How many entry hosts of a zone send digests to one other zone. With two, a link that fails in
    // one direction does not silence the zone.
    std::uint32_t digestSenders = 2;
    // How long a digest counts. With 8 entry hosts a zone, one process receives a digest of another
    // zone every 4 s; two may be lost.
    Milliseconds digestFreshFor{10'000};
};

// A process that this one was told of, and where it is.
struct KnownPeer
{
    EntryHostId id;
    ZoneId zone;
};

struct PeerEntry
{
    ZoneId zone;
    std::uint32_t incarnation = 0;
    std::uint32_t sequence = 0;
    std::optional<TimePoint> heardAt;  // from the peer itself
    std::optional<TimePoint> vouchedAt;  // another process said that it hears the peer
    bool isLeaving = false;
    bool hearsUs = false;
    bool isLogReachable = false;
};

struct ZoneEntry
{
    std::optional<TimePoint> heardAt;  // a digest of the zone, by this process
    std::optional<TimePoint> vouchedAt;  // a peer of the own zone hears the zone
    std::optional<TimePoint> vouchedFromOutsideAt;  // another zone hears the zone
    std::optional<TimePoint> hearsUsAt;  // the zone said that it hears ours
    std::optional<TimePoint> logReachableAt;  // the zone said that it reaches the log
    TimePoint knownSince;
};

// The membership view of one process. All times are of the process's own steady clock.
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

// `known` holds the peers of the settings; self is skipped.
PeerTable makePeerTable(const PeerPolicy &policy, const KnownPeer &self, std::uint32_t incarnation,
                        std::span<const KnownPeer> known, TimePoint now);

// Replaces the list of known peers and keeps what is known of those that stay.
void setKnownPeers(PeerTable &table, std::span<const KnownPeer> known);

// Takes a message. Returns false when it is old (a lower sequence or incarnation), from an unknown
// peer or from self. A process that restarts with a clock that went back has a lower incarnation;
// it is accepted once the earlier one is suspect.
bool receive(PeerTable &table, const Heartbeat &heartbeat, TimePoint now);
bool receive(PeerTable &table, const Digest &digest, TimePoint now);

// To be called at least once a period, before the queries. Shifts all times over a pause or a jump
// of the clock, in either direction, so that it is not held against the peers.
void advance(PeerTable &table, TimePoint now);

// The next messages, numbered. Rumours are added by the caller.
Heartbeat nextHeartbeat(PeerTable &table, TimePoint now, bool isLeaving, bool isLogReachable);
Digest nextDigest(PeerTable &table, TimePoint now, bool isLogReachable);

}  // namespace poplarstream::membership
