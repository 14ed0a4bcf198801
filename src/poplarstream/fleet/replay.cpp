#include "poplarstream/fleet/replay.hpp"

#include <algorithm>  // for max
#include <variant>  // for visit

#include "poplarstream/fleet/steps.hpp"  // for applyStep, Position

namespace poplarstream {

Applied apply(FleetState &state, const Logged<ControlRecord> &logged)
{
    if (logged.offset < state.next) {
        return {false, "the offset was applied already"};
    }
    state.next = logged.offset + 1;
    state.time = std::max(state.time, logged.time);
    const RecordHeader &header = logged.record.header;
    // Parts of snapshots change nothing, and their ids would push out those that matter.
    const bool isPart = std::holds_alternative<SnapshotPart>(logged.record.body);
    if (!isPart && !state.recentIds.remember(header)) {
        return {false, "the record was seen before"};
    }
    const Position at{logged.offset, state.time, header};
    return std::visit([&](const auto &body) { return applyStep(state, at, body); },
                      logged.record.body);
}

}  // namespace poplarstream
