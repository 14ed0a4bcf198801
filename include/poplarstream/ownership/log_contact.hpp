#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream::ownership {

// Whether, and since when, a process is able to read a log.
struct LogContact
{
    TimePoint reachableSince{};  // since when reads have succeeded without a long gap
    TimePoint lastSuccessAt{};
    bool hasLastReadFailed = false;
};

// Records the end of a read. `interval` is the longest time between the ends of two successful
// reads: the pause between them plus the time that the log holds a read without records.
void recordRead(LogContact &contact, bool isSuccess, TimePoint now, Milliseconds interval);

// Whether the newest read succeeded, and recently enough that the next one is not overdue.
bool isReachable(const LogContact &contact, TimePoint now, Milliseconds interval);

}  // namespace poplarstream::ownership
