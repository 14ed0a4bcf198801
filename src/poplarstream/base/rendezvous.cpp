#include "poplarstream/base/rendezvous.hpp"

#include <xxhash.h>  // for XXH3_64bits_withSeed

namespace poplarstream {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousScore(std::string_view key, std::string_view node)
{
    return stableHash(key, stableHash(node));
}

}  // namespace poplarstream
