#pragma once

#include <atomic>  // for atomic
#include <cstdint>  // for uint64_t
#include <mutex>  // for mutex, lock_guard
#include <utility>  // for move
#include <vector>  // for vector

#include <boost/circular_buffer.hpp>  // for circular_buffer

namespace poplarstream {

// A bounded queue between two threads. A push into a full ring fails and is counted; it never
// waits, so a slow consumer cannot stall the request path. The lock is held only for the move of
// one element or, in drain(), for the swap of the buffers.
template <class T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity)
        : buffer_(capacity)
        , spare_(capacity)
    {}

    // Returns false, and leaves `item` untouched, when the ring is full.
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

    // Takes all elements, oldest first. Only one thread may call it.
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

    // How many pushes were refused because the ring was full.
    std::uint64_t refusedCount() const { return refused_.load(std::memory_order_relaxed); }

private:
    std::mutex mutex_;
    boost::circular_buffer<T> buffer_;
    boost::circular_buffer<T> spare_;
    std::atomic<std::uint64_t> refused_{0};
};

}  // namespace poplarstream
