#pragma once

#include <atomic>  // for atomic
#include <cstdint>  // for uint64_t
#include <mutex>  // for mutex, lock_guard
#include <utility>  // for move
#include <vector>  // for vector

#include <boost/circular_buffer.hpp>  // for circular_buffer

namespace poplarstream {

// A bounded queue between two threads. Pushing to a full ring fails and is counted, rather than
// blocking, so a slow consumer cannot stall the request path. The lock is held only while one
// element is moved or, in drain(), while the buffers are swapped.
template <class T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity)
        : buffer_(capacity)
        , spare_(capacity)
    {}

    // Returns false and leaves `item` unchanged if the ring is full.
    bool tryPush(T &&item)
    {
        const std::lock_guard lock(mutex_);
        if (buffer_.full()) {
            refused_.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        buffer_.push_back(std::move(item));
        return true;
    }

    // Removes and returns all elements, oldest first. Must be called by one thread only.
    std::vector<T> drain()
    {
        {
            const std::lock_guard lock(mutex_);
            buffer_.swap(spare_);
        }
        std::vector<T> items;
        items.reserve(spare_.size());
        for (T &item : spare_) {
            items.push_back(std::move(item));
        }
        spare_.clear();
        return items;
    }

    // The number of pushes that failed because the ring was full.
    std::uint64_t refusedCount() const { return refused_.load(std::memory_order_relaxed); }

private:
    std::mutex mutex_;
    boost::circular_buffer<T> buffer_;
    boost::circular_buffer<T> spare_;
    std::atomic<std::uint64_t> refused_{0};
};

}  // namespace poplarstream
