#include "poplarstream/fleet/replay.hpp"

#include <algorithm>  // for clamp
#include <variant>  // for visit

#include "poplarstream/fleet/steps.hpp"  // for applyStep, Position

namespace poplarstream {

std::string shortened(std::string text)
{
    if (text.size() <= keptText) {
        return text;
    }
    std::size_t end = keptText;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xc0) == 0x80) {
        --end;
    }
    text.resize(end);
    return text;
}

void advanceClock(FleetState &state, TimePoint logTime)
{
    if (state.next == 0) {
        state.time = logTime;
    } else {
        state.time +=
                std::clamp(Milliseconds{logTime - state.logTime}, Milliseconds{0}, longestLease);
    }
    state.logTime = logTime;
}

ControlOutcome apply(FleetState &state, const Logged<ControlRecord> &logged)
{
    if (logged.offset < state.next) {
        return {false, "the offset was applied already"};
    }
    advanceClock(state, logged.time);
    state.next = logged.offset + 1;
    const RecordHeader &header = logged.record.header;
    // Parts of snapshots change nothing, and their ids would push out those that matter.
    const bool isPart = std::holds_alternative<SnapshotPart>(logged.record.body);
    if (!isPart && !state.recentIds.remember(header)) {
        return {false, "the record was seen before"};
    }
    const Position at{logged.offset, state.time, state.logTime, header};
    return std::visit([&](const auto &body) { return applyStep(state, at, body); },
                      logged.record.body);
}

}  // namespace poplarstream
