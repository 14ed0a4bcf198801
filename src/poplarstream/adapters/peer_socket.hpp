#pragma once

#include <map>  // for map
#include <memory>  // for unique_ptr
#include <mutex>  // for mutex
#include <optional>  // for optional
#include <string>  // for string

#include <nlohmann/json_fwd.hpp>  // for json
#include <nng/nng.h>  // for nng_socket, nng_msg, nng_aio

#include "poplarstream/adapters/peer_transport.hpp"  // for PeerSettings
#include "poplarstream/base/result.hpp"  // for Result

namespace poplarstream {

struct NngMessageFree
{
    void operator()(nng_msg *message) const { nng_msg_free(message); }
};
using NngMessage = std::unique_ptr<nng_msg, NngMessageFree>;

// Encodes `value` as MessagePack.
NngMessage encodePeerMessage(const nlohmann::json &value);

// The inverse; empty for bytes that are not exactly one bounded MessagePack value.
std::optional<nlohmann::json> decodePeerMessage(const NngMessage &message);

// Owns an nng socket.
class PeerSocket
{
public:
    explicit PeerSocket(nng_socket socket)
        : socket_(socket)
    {}
    PeerSocket(PeerSocket &&other) noexcept
        : socket_(std::exchange(other.socket_, nng_socket(NNG_SOCKET_INITIALIZER)))
    {}
    PeerSocket &operator=(PeerSocket &&other) noexcept
    {
        std::swap(socket_, other.socket_);
        return *this;
    }
    ~PeerSocket() { close(); }

    void close()
    {
        nng_close(socket_);  // fails harmlessly if already closed
    }
    nng_socket handle() const { return socket_; }

private:
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
};

// Opens a listening socket and replaces the port in `url` with the actual one.
Result<PeerSocket> listenPeerSocket(int (*open)(nng_socket *), std::string &url,
                                    std::size_t maxBytes);

// Opens a socket that connects, and reconnects, in the background.
Result<PeerSocket> dialPeerSocket(int (*open)(nng_socket *), const std::string &url,
                                  const PeerSettings &settings, std::size_t maxBytes);

}  // namespace poplarstream
