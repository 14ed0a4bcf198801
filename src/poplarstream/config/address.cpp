#include "poplarstream/config/address.hpp"

#include <arpa/inet.h>  // for inet_pton, ntohl

#include <charconv>  // for from_chars

#include <fmt/format.h>  // for format

namespace poplarstream {

std::string ipText(Address address)
{
    return fmt::format("{}.{}.{}.{}", address.ip >> 24, (address.ip >> 16) & 255,
                       (address.ip >> 8) & 255, address.ip & 255);
}

std::string addressText(Address address)
{
    return fmt::format("{}:{}", ipText(address), address.port);
}

std::optional<Address> addressFromText(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    in_addr ip{};
    if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) != 1) {
        return std::nullopt;
    }
    const char *end = text.data() + text.size();
    std::uint16_t port = 0;
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    if (read.ec != std::errc{} || read.ptr != end || port == 0) {
        return std::nullopt;
    }
    return Address{ntohl(ip.s_addr), port};
}

}  // namespace poplarstream
