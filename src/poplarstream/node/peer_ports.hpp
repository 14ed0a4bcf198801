#pragma once

#include <map>  // for map
#include <vector>  // for vector

#include "poplarstream/adapters/peer_transport.hpp"  // for PeerTransport, PeerHandlers
#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/config/settings.hpp"  // for Address, PeerSetting
#include "poplarstream/membership/peer_table.hpp"  // for KnownPeer

namespace poplarstream {

// Where the peer with this address listens: requests use the next port.
PeerAddress peerAddress(Address address);

std::vector<membership::KnownPeer> knownPeers(const std::map<EntryHostId, PeerSetting> &peers);

// A transport and the address of its one-way messages.
struct OpenedTransport
{
    PeerTransport transport;
    Address address;
};

// Opens a transport with the limits of an entry host. For port 0, looks for two free ports that
// follow each other.
Result<OpenedTransport> openTransport(Address listen, const PeerHandlers &handlers);

}  // namespace poplarstream
