#pragma once

#include <cstdint>  // for uint64_t
#include <span>  // for span
#include <vector>  // for vector

#include <boost/unordered/unordered_flat_set.hpp>  // for unordered_flat_set

#include "poplarstream/records/record.hpp"  // for RecordHeader

namespace poplarstream {

// The set of the newest `capacity` record ids. It makes sure that a retried append is applied once.
// The limit is a number of records, not an age, so nothing is evicted while the log is unavailable.
// An id is stored as a 64-bit hash of writer and id. On a hash collision, whose probability is
// 2^-51 per record with 8,192 ids, all entry hosts ignore the same record.
class RecentIds
{
public:
    // Covers 400 s at 20 records a second, the rate that the limit of 2 KB/s for control traffic
    // allows. Writers resolve an unacknowledged append within seconds.
    static constexpr std::size_t capacity = 8192;

    // Adds the id and returns true, or returns false if the set has it already.
    bool insert(const RecordHeader &header);

    // Returns the hashes, oldest first.
    std::vector<std::uint64_t> hashes() const;

    // Replaces the content. Keeps the newest `capacity` hashes.
    void restore(std::span<const std::uint64_t> hashes);

private:
    void append(std::uint64_t hash);

    std::vector<std::uint64_t> ring_;
    std::size_t oldest_ = 0;
    boost::unordered_flat_set<std::uint64_t> known_;
};

}  // namespace poplarstream
