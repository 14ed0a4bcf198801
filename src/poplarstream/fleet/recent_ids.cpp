#include "poplarstream/fleet/recent_ids.hpp"

#include "poplarstream/base/rendezvous.hpp"  // for stableHash

namespace poplarstream {

bool RecentIds::insert(const RecordHeader &header)
{
    const std::uint64_t hash = stableHash(header.id.text(), stableHash(header.writer.text()));
    if (known_.contains(hash)) {
        return false;
    }
    append(hash);
    return true;
}

void RecentIds::append(std::uint64_t hash)
{
    if (ring_.size() < capacity) {
        ring_.push_back(hash);
    } else {
        known_.erase(ring_[oldest_]);
        ring_[oldest_] = hash;
        oldest_ = (oldest_ + 1) % capacity;
    }
    known_.insert(hash);
}

std::vector<std::uint64_t> RecentIds::hashes() const
{
    std::vector<std::uint64_t> ordered(ring_.begin() + static_cast<std::ptrdiff_t>(oldest_),
                                       ring_.end());
    ordered.insert(ordered.end(), ring_.begin(),
                   ring_.begin() + static_cast<std::ptrdiff_t>(oldest_));
    return ordered;
}

void RecentIds::restore(std::span<const std::uint64_t> hashes)
{
    *this = RecentIds{};
    for (const std::uint64_t hash : hashes) {
        append(hash);
    }
}

}  // namespace poplarstream
