#include "poplarstream/adapters/peer_socket.hpp"

#include <cstdint>  // for uint8_t
#include <new>  // for bad_alloc
#include <span>  // for span
#include <vector>  // for vector

#include <netinet/in.h>  // for ntohs
#include <nlohmann/json.hpp>  // for json
#include <nng/nng.h>  // for nng_socket

// The protocol headers require nng.h first.
#include <nng/protocol/reqrep0/req.h>  // for NNG_OPT_REQ_RESENDTIME

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedMessagePack

namespace poplarstream {

namespace {

Failure failureOf(const std::string &url, int error)
{
    return {url + ": " + nng_strerror(error), ""};
}

// The port of a listener in host byte order; 0 if it cannot be read.
std::uint16_t portOf(nng_listener listener)
{
    nng_sockaddr address{};
    if (nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &address) != 0) {
        return 0;
    }
    return ntohs(address.s_family == NNG_AF_INET6 ? address.s_in6.sa_port : address.s_in.sa_port);
}

}  // namespace

NngMessage encodePeerMessage(const nlohmann::json &value)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(value);
    nng_msg *message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0) {
        throw std::bad_alloc();
    }
    NngMessage owned(message);
    if (nng_msg_append(message, bytes.data(), bytes.size()) != 0) {
        throw std::bad_alloc();
    }
    return owned;
}

std::optional<nlohmann::json> decodePeerMessage(const NngMessage &message)
{
    const auto *bytes = static_cast<const std::uint8_t *>(nng_msg_body(message.get()));
    return parseBoundedMessagePack(std::span(bytes, nng_msg_len(message.get())));
}

Result<PeerSocket> listenPeerSocket(int (*open)(nng_socket *), std::string &url,
                                    std::size_t maxBytes)
{
    nng_socket raw = NNG_SOCKET_INITIALIZER;
    if (const int error = open(&raw)) {
        return failureOf(url, error);
    }
    PeerSocket socket(raw);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    int error = nng_socket_set_size(raw, NNG_OPT_RECVMAXSZ, maxBytes);
    error = error != 0 ? error : nng_listener_create(&listener, raw, url.c_str());
    error = error != 0 ? error : nng_listener_start(listener, 0);
    if (error != 0) {
        return failureOf(url, error);
    }
    if (const std::uint16_t port = portOf(listener); port != 0) {
        url = url.substr(0, url.rfind(':') + 1) + std::to_string(port);
    }
    return socket;
}

Result<PeerSocket> dialPeerSocket(int (*open)(nng_socket *), const std::string &url,
                                  const PeerSettings &settings, std::size_t maxBytes)
{
    nng_socket raw = NNG_SOCKET_INITIALIZER;
    if (const int error = open(&raw)) {
        return failureOf(url, error);
    }
    PeerSocket socket(raw);
    // Sockets reject the options that do not apply to them, which is harmless.
    nng_socket_set_int(raw, NNG_OPT_SENDBUF, settings.queuedMessages);
    // A request is sent once; the caller decides about retries.
    nng_socket_set_ms(raw, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    nng_socket_set_size(raw, NNG_OPT_RECVMAXSZ, maxBytes);
    nng_socket_set_ms(raw, NNG_OPT_RECONNMINT,
                      static_cast<nng_duration>(settings.reconnectMin.count()));
    nng_socket_set_ms(raw, NNG_OPT_RECONNMAXT,
                      static_cast<nng_duration>(settings.reconnectMax.count()));
    if (const int error = nng_dial(raw, url.c_str(), nullptr, NNG_FLAG_NONBLOCK)) {
        return failureOf(url, error);
    }
    return socket;
}

}  // namespace poplarstream
