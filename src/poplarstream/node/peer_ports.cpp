#include "peer_ports.hpp"

#include <fmt/format.h>  // for format

namespace poplarstream {

namespace {

PeerSettings transportSettings(PeerAddress listen)
{
    PeerSettings settings;
    settings.listen = std::move(listen);
    // Heartbeats that have waited for a connection are stale, so few are queued.
    settings.queuedMessages = 2;
    // Most submissions with an idempotency key belong to another zone and wait for its log.
    settings.pendingRequests = 1'024;
    settings.replyContexts = 64;
    return settings;
}

std::string urlOf(Address address, unsigned port)
{
    return fmt::format("tcp://{}:{}", ipText(address), port);
}

Result<OpenedTransport> openAt(Address listen, const PeerHandlers &handlers)
{
    auto opened = PeerTransport::open(transportSettings(peerAddress(listen)), handlers);
    if (!opened) {
        return opened.failure();
    }
    return OpenedTransport{std::move(opened).value(), listen};
}

// A port that was free when probed, or 0. Another process may take it meanwhile.
std::uint16_t freePort(Address listen)
{
    const std::string anyPort = urlOf(listen, 0);
    const auto probe = PeerTransport::open(transportSettings({anyPort, anyPort}), {});
    if (!probe) {
        return 0;
    }
    const std::string &url = probe.value().address().oneWay;
    const auto address = addressFromText(url.substr(url.rfind('/') + 1));
    return address ? address->port : std::uint16_t{0};
}

}  // namespace

PeerAddress peerAddress(Address address)
{
    return {urlOf(address, address.port), urlOf(address, address.port + 1U)};
}

std::vector<membership::KnownPeer> knownPeers(const std::map<EntryHostId, PeerSetting> &peers)
{
    std::vector<membership::KnownPeer> known;
    known.reserve(peers.size());
    for (const auto &[id, peer] : peers) {
        known.push_back({id, peer.zone});
    }
    return known;
}

Result<OpenedTransport> openTransport(Address listen, const PeerHandlers &handlers)
{
    if (listen.port != 0) {
        return openAt(listen, handlers);
    }
    constexpr int attempts = 32;
    for (int i = 0; i < attempts; ++i) {
        const std::uint16_t port = freePort(listen);
        auto opened = port != 0 ? openAt({listen.ip, port}, handlers)
                                : Result<OpenedTransport>(Failure{"no free port", "listen"});
        if (opened) {
            return opened;
        }
    }
    return Failure{"found no two consecutive free ports", "listen"};
}

}  // namespace poplarstream
