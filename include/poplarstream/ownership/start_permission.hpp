#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream::ownership {

struct StartLimits
{
    // A start is sent within this time after the write of its record began: a successor that takes
    // over in between reads the record.
    Milliseconds maxRecordAge{1500};
    // Starts stop when the log of submissions and cancellations was last read to its end longer ago
    // than this: a cancelled job might start. Below the time within which a cancellation takes
    // effect, by the time that a start may be under way.
    Milliseconds maxCancellationAge{2500};
};

// What an owner knows when it is about to start tasks.
struct StartEvidence
{
    bool isOwner = false;
    TimePoint cancellationsReadAt{};  // everything in the log at this time has been processed
};

// Why nothing may start now.
enum class StartHold {
    None,
    NotOwner,
    CancellationsUnread,
    RecordTooOld,
};

// Whether an owner may plan starts.
StartHold planningHold(const StartEvidence &evidence, const StartLimits &limits, TimePoint now);

// Whether a start whose record was first sent to the store at `recordedAt` may be sent to its
// worker. Asked right before it is sent, since the process may have been paused meanwhile.
StartHold sendingHold(const StartEvidence &evidence, TimePoint recordedAt,
                      const StartLimits &limits, TimePoint now);

}  // namespace poplarstream::ownership
