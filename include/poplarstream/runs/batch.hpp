#pragma once

#include <cstdint>  // for uint64_t
#include <functional>  // for function
#include <span>  // for span
#include <vector>  // for vector

#include "poplarstream/records/run_record.hpp"  // for RunRecord, RunEntry
#include "poplarstream/runs/runs_state.hpp"  // for RunsState

namespace poplarstream {

// Packs entries, in order, into as few records as maxRecordBytes allows. `nextId` returns a new
// record id on each call. An entry that alone exceeds the limit gets its own record, which the log
// rejects.
std::vector<RunRecord> batchEntries(std::span<const RunEntry> entries, const EntryHostId &writer,
                                    const std::function<RecordId()> &nextId);

// Builds the entries that cancel `runs`, each small enough for one record. Skips runs that are
// unknown, final or already being cancelled.
std::vector<RunEntry> cancelEntries(const RunsState &state, std::span<const RunId> runs);

}  // namespace poplarstream
