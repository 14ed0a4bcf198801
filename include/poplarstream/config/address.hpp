#pragma once

#include <compare>  // for strong_ordering
#include <cstdint>  // for uint16_t, uint32_t
#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view

namespace poplarstream {

// An IPv4 address and port. `ip` is in host byte order.
struct Address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    // clang-tidy 14 mistakes the 0 in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Address &, const Address &) = default;
};

// Formats the address as "ip:port", for example "127.0.1.2:7000".
std::string addressText(Address address);

// Formats the IP address without the port.
std::string ipText(Address address);

// Parses "ip:port". Returns nullopt for host names, IPv6 addresses, port 0 and malformed text.
std::optional<Address> addressFromText(std::string_view text);

}  // namespace poplarstream
