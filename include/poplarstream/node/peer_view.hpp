#pragma once

#include <cstdint>  // for uint32_t
#include <map>  // for map
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for EntryHostId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/membership/peer_table.hpp"  // for PeerTable
#include "poplarstream/node/control_duty.hpp"  // for PeerView
#include "poplarstream/node/peer_evidence.hpp"  // for LeavingSubjects

namespace poplarstream {

// The view of the tables. `isLeaving`: this process gives up its duties and is not in the lists.
PeerView makePeerView(const membership::PeerTable &table, bool isLeaving,
                      std::vector<membership::ZoneChange> zoneChanges, LeavingSubjects leaving,
                      TimePoint now);

bool isSameView(const PeerView &a, const PeerView &b);

// The incarnations of the peers that are heard, by this process or another.
using SeenPeers = std::map<EntryHostId, std::uint32_t>;
SeenPeers seenPeers(const membership::PeerTable &table, TimePoint now);

// What is worth an event: peers that came, also as a new process, and peers that fell silent
// without having said that they leave.
struct PeerChanges
{
    std::vector<EntryHostId> seen;
    std::vector<EntryHostId> suspected;
};
PeerChanges peerChanges(const SeenPeers &before, const SeenPeers &after,
                        const membership::PeerTable &table);

// The peers that may hold the state of the stream, the own zone's first: only those for a run
// stream, all live peers for the control stream.
std::vector<EntryHostId> stateHolders(const membership::PeerTable &table, const std::string &stream,
                                      TimePoint now);

}  // namespace poplarstream
