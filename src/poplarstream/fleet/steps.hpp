#pragma once

#include "poplarstream/fleet/replay.hpp"  // for ControlOutcome, FleetState

namespace poplarstream {

// The offset, times and header of a logged record.
struct LogPosition
{
    Offset offset;
    TimePoint time;  // replay clock
    TimePoint logTime;
    const RecordHeader &header;
};

// Apply one record, with an overload for each kind.
ControlOutcome applyStep(FleetState &state, const LogPosition &position,
                         const ConfigChange &change);
ControlOutcome applyStep(FleetState &state, const LogPosition &position,
                         const AbsenceRequest &request);
ControlOutcome applyStep(FleetState &state, const LogPosition &position,
                         const AbsenceProgress &progress);
ControlOutcome applyStep(FleetState &state, const LogPosition &position, const HostMove &move);
ControlOutcome applyStep(FleetState &state, const LogPosition &position, const HostHealth &health);
ControlOutcome applyStep(FleetState &state, const LogPosition &position,
                         const ZoneReachability &zone);
ControlOutcome applyStep(FleetState &state, const LogPosition &position, const LeaderLease &lease);
ControlOutcome applyStep(FleetState &state, const LogPosition &position,
                         const WorkerQuarantine &quarantine);
ControlOutcome applyStep(FleetState &state, const LogPosition &position, const SnapshotPart &part);

// Returns why the configuration must not come into force in the current state: it would move a
// host, remove one that is away, or exceed a budget. Empty if it may.
std::string hostChangeRefusal(const FleetState &state, const Configuration &after);

// The longest text stored in the state. A record can contain up to 64 KiB of text, which in the
// histories of 4,500 hosts would exceed the limit of 64 MB.
inline constexpr std::size_t maxStoredTextBytes = 240;

// Truncates a text to maxStoredTextBytes without splitting a UTF-8 character.
std::string truncated(std::string text);

// Appends to a history; if it is full, drops the oldest entry first.
template <class Entry>
void appendBounded(std::vector<Entry> &history, Entry entry, std::size_t capacity)
{
    if (history.size() >= capacity) {
        history.erase(history.begin());
    }
    history.push_back(std::move(entry));
}

}  // namespace poplarstream
