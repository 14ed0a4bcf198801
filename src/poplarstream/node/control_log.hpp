#pragma once

#include "poplarstream/fleet/replay.hpp"  // for ControlOutcome
#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/records/control_record.hpp"  // for ControlRecord
#include "poplarstream/records/record.hpp"  // for Logged
#include "poplarstream/records/run_record.hpp"  // for RunEntry
#include "poplarstream/runs/runs_state.hpp"  // for RunsState

namespace poplarstream {

// Logs the event of a control record that was just applied to `state`. Leader leases and snapshot
// parts have none.
void logControlRecord(const FleetState &state, const Logged<ControlRecord> &logged,
                      const ControlOutcome &outcome);

// Logs the event of a granted entry of a run record that this process proposed.
void logRunEntry(const RunsState &state, const RunEntry &entry, const FencingToken &token);

}  // namespace poplarstream
