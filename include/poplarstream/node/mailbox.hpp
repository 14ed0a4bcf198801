#pragma once

#include <atomic>  // for atomic
#include <bit>  // for has_single_bit
#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <string>  // for string
#include <utility>  // for move

#include "poplarstream/base/bounded_ring.hpp"  // for BoundedRing
#include "poplarstream/node/duty_thread.hpp"  // for DutyThread
#include "poplarstream/telemetry/event.hpp"  // for logEvent
#include "poplarstream/telemetry/event_kinds.hpp"  // for ringFull

namespace poplarstream {

// A bounded queue to a duty. Items are handled on the duty's thread in order of arrival. A full
// mailbox refuses items; the sender then responds "not run" or retries later.
//
// The mailbox must outlive the threads that send to it.
template <class T>
class Mailbox
{
public:
    Mailbox(DutyThread &duty, std::string name, std::size_t capacity,
            std::function<void(T &&)> handle)
        : duty_(duty)
        , name_(std::move(name))
        , ring_(capacity)
        , handle_(std::move(handle))
    {}

    // Returns false and leaves `item` unchanged if the mailbox is full. Thread-safe.
    bool trySend(T &&item)
    {
        if (!ring_.tryPush(std::move(item))) {
            logFull();
            return false;
        }
        // One wake-up handles all items that arrive before drain() runs.
        if (!wakeUpPending_.exchange(true)) {
            duty_.post([this] { drain(); });
        }
        return true;
    }

    const std::string &name() const { return name_; }
    std::uint64_t refusedCount() const { return ring_.refusedCount(); }

private:
    // Logs only when the count is a power of two, so that overload does not flood the log.
    void logFull() const
    {
        const std::uint64_t refused = ring_.refusedCount();
        if (std::has_single_bit(refused)) {
            logEvent(events::ringFull, {{"ring", name_}, {"refused", std::to_string(refused)}});
        }
    }

    void drain()
    {
        wakeUpPending_.store(false);
        for (T &item : ring_.drain()) {
            duty_.guard([&] { handle_(std::move(item)); });
        }
    }

    DutyThread &duty_;
    std::string name_;
    BoundedRing<T> ring_;
    std::function<void(T &&)> handle_;
    std::atomic<bool> wakeUpPending_{false};
};

}  // namespace poplarstream
