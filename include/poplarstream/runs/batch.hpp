#pragma once

#include <cstdint>  // for uint64_t
#include <functional>  // for function
#include <span>  // for span
#include <vector>  // for vector

#include "poplarstream/records/run_record.hpp"  // for RunRecord, RunEntry
#include "poplarstream/runs/runs_state.hpp"  // for RunsState

namespace poplarstream {

// Puts entries, in order, into as few records as the record limit allows. `nextId` gives a new
// record id at each call. An entry that is larger than the limit by itself gets its own record; the
// log refuses it.
std::vector<RunRecord> batchEntries(std::span<const RunEntry> entries, const EntryHostId &writer,
                                    const std::function<RecordId()> &nextId);

// A wave of cancellations as entries that each fit into one record. Runs that are not known or
// have ended are left out.
std::vector<RunEntry> cancelEntries(const RunsState &state, std::span<const RunId> runs);

}  // namespace poplarstream
