#pragma once

#include <cstdint>  // for uint64_t
#include <span>  // for span
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for Id

namespace poplarstream {

// A 64-bit hash that is the same in every process and on every platform (XXH3).
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

// The score of `node` for `key` in rendezvous hashing (Thaler and Ravishankar, 1998): the node with
// the highest score owns the key. When a node leaves, only the keys that it owned change owner.
std::uint64_t rendezvousScore(std::string_view key, std::string_view node);

// The index of the node that owns `key`. `nodes` must not be empty.
template <class Tag>
std::size_t rendezvousOwner(std::string_view key, std::span<const Id<Tag>> nodes)
{
    std::size_t best = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const std::uint64_t score = rendezvousScore(key, nodes[i].text());
        if (i == 0 || score > bestScore || (score == bestScore && nodes[i] < nodes[best])) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

}  // namespace poplarstream
