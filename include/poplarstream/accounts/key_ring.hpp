#pragma once

#include <array>  // for array
#include <cstddef>  // for size_t
#include <cstdint>  // for uint8_t
#include <map>  // for map
#include <span>  // for span
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for AccountId
#include "poplarstream/base/result.hpp"  // for Result

namespace poplarstream::accounts {

// The longest key of an account, in bytes.
inline constexpr std::size_t maxKeyBytes = 256;

// Whether a text can be a key: of 1 to maxKeyBytes printable ASCII characters without spaces.
bool isWellFormedKey(std::string_view key);

// The keys of an account as a configuration has them. Secrets: they must not be kept.
struct AccountKeys
{
    AccountId account;
    std::vector<std::string> keys;
};

// Finds the account of a key.
//
// Holds keyed digests (BLAKE2b, RFC 7693) instead of keys. The key of the digests is drawn at
// random once in each process and never leaves it, so digests cannot be compared with those of
// guessed keys, and the time that a lookup takes tells nothing about how much of a key is right.
class KeyRing
{
public:
    KeyRing() = default;

    // Fails if a key is malformed or appears twice, also within one account. The failure names the
    // accounts, never the key.
    static Result<KeyRing> create(std::span<const AccountKeys> accounts);

    // Null for a key that belongs to no account.
    const AccountId *find(std::string_view key) const;

private:
    static constexpr std::size_t digestBytes = 32;

    using Digest = std::array<std::uint8_t, digestBytes>;

    static Digest digestOf(std::string_view key);

    std::map<Digest, AccountId> accounts_;
};

}  // namespace poplarstream::accounts
