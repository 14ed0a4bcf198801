#include "poplarstream/accounts/key_ring.hpp"

#include <algorithm>  // for all_of
#include <stdexcept>  // for runtime_error

#include <fmt/format.h>  // for format
#include <sodium.h>  // for crypto_generichash, crypto_generichash_keygen, sodium_init

namespace poplarstream::accounts {

namespace {

using HashKey = std::array<std::uint8_t, crypto_generichash_KEYBYTES>;

// The key of all digests of this process.
const HashKey &processKey()
{
    static const HashKey key = [] {
        if (sodium_init() < 0) {
            throw std::runtime_error("libsodium cannot be initialized");
        }
        HashKey drawn;
        crypto_generichash_keygen(drawn.data());
        return drawn;
    }();
    return key;
}

}  // namespace

bool isWellFormedKey(std::string_view key)
{
    return !key.empty() && key.size() <= maxKeyBytes
           && std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
}

Result<KeyRing> KeyRing::create(std::span<const AccountKeys> accounts)
{
    KeyRing ring;
    for (const AccountKeys &each : accounts) {
        for (const std::string &key : each.keys) {
            if (!isWellFormedKey(key)) {
                return Failure{fmt::format("account {}: a key is not 1 to {} printable ASCII "
                                           "characters",
                                           each.account.text(), maxKeyBytes),
                               {}};
            }
            const auto [place, isNew] = ring.accounts_.emplace(digestOf(key), each.account);
            if (!isNew && place->second == each.account) {
                return Failure{fmt::format("account {}: a key appears twice", each.account.text()),
                               {}};
            }
            if (!isNew) {
                return Failure{fmt::format("account {}: a key is also a key of account {}",
                                           each.account.text(), place->second.text()),
                               {}};
            }
        }
    }
    return ring;
}

const AccountId *KeyRing::find(std::string_view key) const
{
    if (accounts_.empty() || !isWellFormedKey(key)) {
        return nullptr;
    }
    const auto found = accounts_.find(digestOf(key));
    return found == accounts_.end() ? nullptr : &found->second;
}

KeyRing::Digest KeyRing::digestOf(std::string_view key)
{
    static_assert(digestBytes >= crypto_generichash_BYTES_MIN
                  && digestBytes <= crypto_generichash_BYTES_MAX);
    const HashKey &hashKey = processKey();
    Digest digest;
    // Fails only for sizes out of range.
    if (crypto_generichash(digest.data(), digest.size(),
                           reinterpret_cast<const unsigned char *>(key.data()), key.size(),
                           hashKey.data(), hashKey.size())
        != 0) {
        throw std::runtime_error("libsodium cannot make a digest");
    }
    return digest;
}

}  // namespace poplarstream::accounts
