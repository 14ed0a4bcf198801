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

// The state as text, and back. The text also serves the state transfer between peers. Numbers are
// decimal, texts are prefixed with their length, so that payloads need no escaping.
std::string writeState(const RunsState &state);
Result<RunsState> readState(std::string_view text);

// The state through its newest record, in parts that each fit into one record of the run stream.
std::vector<SnapshotPart> snapshotParts(const RunsState &state, const RecordId &snapshot);

// Collects the parts of snapshots while a stream is read. Parts of an unfinished snapshot are kept
// until a newer one is complete.
struct RunsSnapshotCollector
{
    std::map<RecordId, std::map<std::uint32_t, SnapshotPart>> open;
};

// Takes the parts of a record. Returns the state when a record completes a snapshot that is newer
// than `newest` (the offset after the last record in it); a part with a wrong checksum is skipped,
// and so is a snapshot that cannot be read.
std::optional<RunsState> collect(RunsSnapshotCollector &collector, const RunRecord &record,
                                 Offset newest);

}  // namespace poplarstream
