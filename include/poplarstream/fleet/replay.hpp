#pragma once

#include <string>  // for string

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

// Applies the next record of the control stream. The result depends only on the state and the
// record. A record that is not granted changes nothing but the time, the remembered ids and the
// histories. A record below `state.next`, and one whose id is remembered, is ignored.
ControlOutcome apply(FleetState &state, const Logged<ControlRecord> &logged);

}  // namespace poplarstream
