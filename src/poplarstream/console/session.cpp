#include "poplarstream/console/session.hpp"

#include <algorithm>  // for copy
#include <array>  // for array
#include <charconv>  // for from_chars
#include <cstdint>  // for uint8_t, int64_t

#include <boost/uuid/name_generator_sha1.hpp>  // for name_generator_sha1
#include <boost/uuid/uuid.hpp>  // for uuid
#include <boost/uuid/uuid_io.hpp>  // for to_string
#include <fmt/format.h>  // for format

namespace poplarstream::console {

namespace {

using boost::uuids::name_generator_sha1;
using boost::uuids::uuid;

constexpr std::size_t blockBytes = 64;

// SHA-1 of the block followed by the message. The first 16 bytes of the block are passed as the
// generator's namespace, which it hashes first.
uuid hashBlockAndMessage(const std::array<char, blockBytes> &block, std::string_view message)
{
    uuid nameSpace;
    std::copy_n(block.begin(), nameSpace.size(), nameSpace.begin());
    std::string remaining(block.begin() + uuid::static_size(), block.end());
    remaining += message;
    return name_generator_sha1(nameSpace)(remaining.data(), remaining.size());
}

// HMAC (RFC 2104) with SHA-1 from Boost's name generator, which returns 122 of the 160 bits.
std::string keyedHash(std::string_view key, std::string_view message)
{
    std::string shortKey(key);
    if (key.size() > blockBytes) {
        const uuid digest = name_generator_sha1(uuid{})(key.data(), key.size());
        shortKey.assign(digest.begin(), digest.end());
    }
    std::array<char, blockBytes> inner{};
    std::copy(shortKey.begin(), shortKey.end(), inner.begin());
    std::array<char, blockBytes> outer = inner;
    for (std::size_t i = 0; i < blockBytes; ++i) {
        inner[i] = static_cast<char>(static_cast<std::uint8_t>(inner[i]) ^ 0x36U);
        outer[i] = static_cast<char>(static_cast<std::uint8_t>(outer[i]) ^ 0x5cU);
    }
    const uuid digest = hashBlockAndMessage(inner, message);
    return to_string(hashBlockAndMessage(outer, std::string(digest.begin(), digest.end())));
}

std::string sessionFor(std::string_view operatorToken, std::int64_t expiry)
{
    return fmt::format("{}.{}", expiry,
                       keyedHash(operatorToken, fmt::format("session {}", expiry)));
}

}  // namespace

std::string makeSession(std::string_view operatorToken, TimePoint now)
{
    return sessionFor(operatorToken, millisecondsSinceEpoch(now + sessionLength));
}

std::optional<std::string> formTokenOf(std::string_view session,
                                       std::span<const std::string> operatorTokens, TimePoint now)
{
    std::int64_t expiry = 0;
    const auto [end, error] =
            std::from_chars(session.data(), session.data() + session.size(), expiry);
    if (error != std::errc{} || expiry <= millisecondsSinceEpoch(now)) {
        return std::nullopt;
    }
    for (const std::string &token : operatorTokens) {
        if (!token.empty() && secretsMatch(session, sessionFor(token, expiry))) {
            return keyedHash(token, fmt::format("form {}", session));
        }
    }
    return std::nullopt;
}

bool secretsMatch(std::string_view a, std::string_view b)
{
    if (a.empty() || a.size() != b.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

}  // namespace poplarstream::console
