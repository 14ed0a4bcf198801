#pragma once

#include <string>  // for string

#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/records/control_record.hpp"  // for ControlRecord
#include "poplarstream/records/record.hpp"  // for Logged

namespace poplarstream {

// The outcome of one record. `reason` explains why a record was not granted.
struct ControlOutcome
{
    bool granted = false;
    std::string reason;
};

// The longest leader lease, and the longest step of the replay clock. If a lease holder crashes,
// nobody can take over before its lease expires.
inline constexpr Milliseconds maxLeaseDuration{10 * 60 * 1000};

// Advances the replay clock. It follows the log time from record to record in steps between 0 and
// maxLeaseDuration. Without this limit, a log clock that jumps ahead by a day and back would extend
// a lease granted in between to a day. A gap long enough for all leases to expire still counts as
// such. The current time of this clock is `state.time` plus the time since the newest record was
// appended.
void advanceClock(FleetState &state, TimePoint logTime);

// Applies the next record of the control stream. The result depends only on the state and the
// record. A record that is not granted changes only the clock, the recent ids and the histories.
// Records with an offset below `state.next` or with a recently seen id are ignored.
ControlOutcome apply(FleetState &state, const Logged<ControlRecord> &logged);

}  // namespace poplarstream
