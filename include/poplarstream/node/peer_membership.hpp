#pragma once

#include <cstdint>  // for uint32_t
#include <memory>  // for shared_ptr
#include <span>  // for span
#include <vector>  // for vector

#include "poplarstream/membership/evidence.hpp"  // for EvidenceTable
#include "poplarstream/membership/peer_table.hpp"  // for PeerTable
#include "poplarstream/membership/zone_reachability.hpp"  // for ZoneWatch
#include "poplarstream/node/callers_duty.hpp"  // for MinionEvidence
#include "poplarstream/node/control_duty.hpp"  // for PeerView
#include "poplarstream/node/peer_messages.hpp"  // for PeerMessage
#include "poplarstream/node/serving_view.hpp"  // for ServingView

namespace poplarstream {

// All that the peers duty knows, without its transport. Times are of the process's own clock.
struct PeerMembership
{
    membership::PeerTable table;
    membership::EvidenceTable evidence;
    membership::ZoneWatch zoneWatch;
    std::shared_ptr<const ServingView> subjects;  // never null
    std::vector<ZoneId> lostZones;  // by the replayed state
    bool isLogReachable = false;
    bool isLeaving = false;
    TimePoint lastForgotten;
    std::uint32_t heartbeats = 0;  // sent by this process
};

PeerMembership makePeerMembership(const membership::KnownPeer &self, std::uint32_t incarnation,
                                  std::span<const membership::KnownPeer> known, TimePoint now);

// To be called once a second.
void advance(PeerMembership &membership, TimePoint now);

// Takes a message. Returns whether it may change the view in a way that must not wait for the next
// second: it carried evidence, or its sender began to leave.
bool receive(PeerMembership &membership, const PeerMessage &message, TimePoint now);

// Returns whether this process had not seen that before.
bool note(PeerMembership &membership, const MinionEvidence &seen, TimePoint now);

// Takes the platform's list of hosts. A live entry only takes back what the list said before.
void recordPlatformState(PeerMembership &membership, std::span<const PlatformHost> hosts,
                         TimePoint now);

// The heartbeat for the peers of the own zone, with gossip updates.
membership::Heartbeat takeHeartbeat(PeerMembership &membership, TimePoint now);

// A digest and where to send it; no targets if this process has none to send.
struct DigestRound
{
    membership::Digest digest;
    std::vector<EntryHostId> targets;
};
DigestRound takeDigests(PeerMembership &membership, TimePoint now);

// What the control duty is told.
PeerView viewOf(const PeerMembership &membership, TimePoint now);

}  // namespace poplarstream
