#pragma once

#include <cstdint>  // for uint64_t
#include <span>  // for span
#include <vector>  // for vector

#include <boost/unordered/unordered_flat_set.hpp>  // for unordered_flat_set

#include "poplarstream/records/record.hpp"  // for RecordHeader

namespace poplarstream {

// Remembers the newest `capacity` record ids, so that the retry of an append is not applied twice.
// The bound counts records, not time: while the log is down nothing is forgotten. An id is kept as
// a 64-bit hash of writer and id; two ids with one hash, at 8,192 remembered a chance of 2^-51 per
// record, make all entry hosts ignore the same record.
class RecentIds
{
public:
    // At 20 records a second, which the limit of 2 KB/s for control allows, this is the last 400 s;
    // writers resolve an append without an answer within seconds.
    static constexpr std::size_t capacity = 8192;

    // Returns false if the id is remembered already.
    bool remember(const RecordHeader &header);

    // The hashes, oldest first.
    std::vector<std::uint64_t> hashes() const;

    // Replaces the content; of more than `capacity` hashes only the newest are kept.
    void restore(std::span<const std::uint64_t> hashes);

private:
    void append(std::uint64_t hash);

    std::vector<std::uint64_t> ring_;
    std::size_t oldest_ = 0;
    boost::unordered_flat_set<std::uint64_t> known_;
};

}  // namespace poplarstream
