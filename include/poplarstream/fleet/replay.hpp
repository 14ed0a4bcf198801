#pragma once

#include <string>  // for string

#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/records/control_record.hpp"  // for ControlRecord
#include "poplarstream/records/record.hpp"  // for Logged

namespace poplarstream {

// The outcome of one record. `reason` says in plain English why a record was not granted.
struct ControlOutcome
{
    bool granted = false;
    std::string reason;
};

// The longest duty lease, and the longest step of the replay clock. A longer lease would keep a
// duty from everybody for as long after its holder has died.
inline constexpr Milliseconds longestLease{10 * 60 * 1000};

// The replay clock follows the time of the log in steps between records, none below 0 and none
// above longestLease. If the log's clock jumps ahead by a day and back again, a lease that was
// granted in between would otherwise last a day; and any silence after which all leases have lapsed
// is still seen as one. The time now by this clock is `state.time` and what has passed since the
// newest record was appended.
void advanceClock(FleetState &state, TimePoint logTime);

// Applies the next record of the control stream. The result depends only on the state and the
// record. A record that is not granted changes nothing but the time, the remembered ids and the
// histories. A record below `state.next`, and one whose id is remembered, is ignored.
ControlOutcome apply(FleetState &state, const Logged<ControlRecord> &logged);

}  // namespace poplarstream
