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

// The state of the peers duty, without its transport. Times are of the process's own clock.
struct PeerMembership
{
    membership::PeerTable table;
    membership::EvidenceTable evidence;
    membership::ZoneWatch zoneWatch;
    std::shared_ptr<const ServingView> subjects;  // never null
    std::vector<ZoneId> lostZones;  // according to the replayed state
    bool isLogReachable = false;
    bool isLeaving = false;
    TimePoint lastCleanup;
    std::uint32_t heartbeats = 0;  // sent by this process
};

PeerMembership makePeerMembership(const membership::KnownPeer &self, std::uint32_t incarnation,
                                  std::span<const membership::KnownPeer> known, TimePoint now);

// Call once a second.
void advance(PeerMembership &membership, TimePoint now);

// Handles a message. Returns whether it may change the view in a way that must not wait for the
// next tick: it carried evidence, or its sender started or stopped leaving.
bool receive(PeerMembership &membership, const PeerMessage &message, TimePoint now);

// Returns whether the evidence is new to this process.
bool recordMinionEvidence(PeerMembership &membership, const MinionEvidence &seen, TimePoint now);

// Records the platform's list of hosts. A live entry only revokes an earlier entry of the list.
void recordPlatformState(PeerMembership &membership, std::span<const PlatformHost> hosts,
                         TimePoint now);

// The next heartbeat for the peers of the own zone, with gossip updates.
membership::Heartbeat prepareHeartbeat(PeerMembership &membership, TimePoint now);

// A digest and its receivers; no targets if no digest is due.
struct DigestRound
{
    membership::Digest digest;
    std::vector<EntryHostId> targets;
};
DigestRound prepareDigests(PeerMembership &membership, TimePoint now);

// The view that the control duty gets.
PeerView viewOf(const PeerMembership &membership, TimePoint now);

}  // namespace poplarstream
