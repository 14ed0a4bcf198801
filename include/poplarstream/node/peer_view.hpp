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

// Builds the view from the tables. `isLeaving`: this process is shutting down and is excluded from
// the lists.
PeerView makePeerView(const membership::PeerTable &table, bool isLeaving,
                      std::vector<membership::ZoneChange> zoneChanges, LeavingSubjects leaving,
                      TimePoint now);

bool isSameView(const PeerView &a, const PeerView &b);

// The incarnations of the peers that this process or another hears.
using SeenPeers = std::map<EntryHostId, std::uint32_t>;
SeenPeers seenPeers(const membership::PeerTable &table, TimePoint now);

// Changes that are logged as events: peers that appeared or restarted, and peers that are no longer
// heard although they did not announce that they leave.
struct PeerChanges
{
    std::vector<EntryHostId> seen;
    std::vector<EntryHostId> suspected;
};
PeerChanges peerChanges(const SeenPeers &before, const SeenPeers &after,
                        const membership::PeerTable &table);

// The peers that may have the state of the stream: those of the own zone, followed by all others
// for the control stream. Only peers that are heard.
std::vector<EntryHostId> stateHolders(const membership::PeerTable &table, const std::string &stream,
                                      TimePoint now);

}  // namespace poplarstream
