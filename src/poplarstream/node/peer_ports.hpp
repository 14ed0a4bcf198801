#pragma once

#include <map>  // for map
#include <vector>  // for vector

#include "poplarstream/adapters/peer_transport.hpp"  // for PeerTransport, PeerHandlers
#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/config/settings.hpp"  // for Address, PeerSetting
#include "poplarstream/membership/peer_table.hpp"  // for KnownPeer

namespace poplarstream {

// The transport address of a peer: one-way messages use the port, requests the next port.
PeerAddress peerAddress(Address address);

std::vector<membership::KnownPeer> knownPeers(const std::map<EntryHostId, PeerSetting> &peers);

// An open transport and the address at which it receives one-way messages.
struct OpenedTransport
{
    PeerTransport transport;
    Address address;
};

// Opens a transport with the limits of an entry host. For port 0, picks two consecutive free ports.
Result<OpenedTransport> openTransport(Address listen, const PeerHandlers &handlers);

}  // namespace poplarstream
