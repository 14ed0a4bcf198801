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

// A bounded ring into a duty. Items are handled on the duty's thread in the order of their arrival.
// A full mailbox refuses; the sender then answers "not run" or tries again later.
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

    // Returns false, and leaves `item` untouched, when the mailbox is full. Any thread may send.
    bool trySend(T &&item)
    {
        if (!ring_.tryPush(std::move(item))) {
            logFull();
            return false;
        }
        // One wake-up serves all items that arrive before the duty looks.
        if (!wakeUpPending_.exchange(true)) {
            duty_.post([this] { drain(); });
        }
        return true;
    }

    const std::string &name() const { return name_; }
    std::uint64_t refusedCount() const { return ring_.refusedCount(); }

private:
    // Logged at each power of two, so that a flood of refusals does not become a flood of lines.
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
