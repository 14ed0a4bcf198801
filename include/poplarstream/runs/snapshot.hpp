#pragma once

#include <map>  // for map
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/records/control_record.hpp"  // for SnapshotPart
#include "poplarstream/records/run_record.hpp"  // for RunRecord, Logged
#include "poplarstream/runs/runs_state.hpp"  // for RunsState

namespace poplarstream {

// Serializes the state to text, and back. Also used for the state transfer between peers. Numbers
// are decimal and strings length-prefixed, so that payloads need no escaping.
std::string writeState(const RunsState &state);
Result<RunsState> readState(std::string_view text);

// Serializes the state into parts that each fit into one record of the run stream.
std::vector<SnapshotPart> snapshotParts(const RunsState &state, const RecordId &snapshot);

// Collects snapshot parts while a stream is read. The parts of an incomplete snapshot are kept
// until a newer snapshot is complete.
struct RunsSnapshotCollector
{
    std::map<RecordId, std::map<std::uint32_t, SnapshotPart>> incomplete;
};

// Adds the snapshot parts of a record. Returns the state if the record completes a snapshot that
// reaches at least offset `newest`. Skips older parts, parts with a wrong checksum and snapshots
// that cannot be parsed.
std::optional<RunsState> collect(RunsSnapshotCollector &collector, const RunRecord &record,
                                 Offset newest);

}  // namespace poplarstream
