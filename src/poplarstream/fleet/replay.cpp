#include "poplarstream/fleet/replay.hpp"

#include <algorithm>  // for clamp
#include <variant>  // for visit

#include "poplarstream/fleet/steps.hpp"  // for applyStep, LogPosition

namespace poplarstream {

std::string truncated(std::string text)
{
    if (text.size() <= maxStoredTextBytes) {
        return text;
    }
    std::size_t end = maxStoredTextBytes;
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
        state.time += std::clamp(Milliseconds{logTime - state.logTime}, Milliseconds{0},
                                 maxLeaseDuration);
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
    // Snapshot parts change nothing, and their ids would evict ids that matter.
    const bool isSnapshotPart = std::holds_alternative<SnapshotPart>(logged.record.body);
    if (!isSnapshotPart && !state.recentIds.insert(header)) {
        return {false, "the record was seen before"};
    }
    const LogPosition position{logged.offset, state.time, state.logTime, header};
    return std::visit([&](const auto &body) { return applyStep(state, position, body); },
                      logged.record.body);
}

}  // namespace poplarstream
