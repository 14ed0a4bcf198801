#pragma once

#include "poplarstream/fleet/replay.hpp"  // for ControlOutcome, FleetState

namespace poplarstream {

// Where and when a record was logged, and its header.
struct Position
{
    Offset offset;
    TimePoint time;  // of the replay clock
    TimePoint logTime;
    const RecordHeader &header;
};

// One step of replay for each kind of record.
ControlOutcome applyStep(FleetState &state, const Position &at, const ConfigChange &change);
ControlOutcome applyStep(FleetState &state, const Position &at, const AbsenceRequest &request);
ControlOutcome applyStep(FleetState &state, const Position &at, const AbsenceProgress &progress);
ControlOutcome applyStep(FleetState &state, const Position &at, const HostMove &move);
ControlOutcome applyStep(FleetState &state, const Position &at, const HostHealth &health);
ControlOutcome applyStep(FleetState &state, const Position &at, const ZoneReachability &zone);
ControlOutcome applyStep(FleetState &state, const Position &at, const LeaderLease &lease);
ControlOutcome applyStep(FleetState &state, const Position &at, const WorkerQuarantine &quarantine);
ControlOutcome applyStep(FleetState &state, const Position &at, const SnapshotPart &part);

// Why the configuration must not come into force with the hosts as they are: it would move a host,
// remove one that is away, or break a budget. Empty if it may.
std::string hostsProblem(const FleetState &state, const Configuration &after);

// The longest text that a history keeps, in bytes. Records can carry up to 64 KiB of text, which
// in the histories of 4,500 hosts would break the limit of 64 MB.
inline constexpr std::size_t keptText = 240;

// The beginning of a text, cut between UTF-8 characters.
std::string shortened(std::string text);

// Appends to a history and drops the oldest entry of a full one.
template <class Entry>
void keep(std::vector<Entry> &history, Entry entry, std::size_t most)
{
    if (history.size() >= most) {
        history.erase(history.begin());
    }
    history.push_back(std::move(entry));
}

}  // namespace poplarstream
