#pragma once

#include <cstdint>  // for uint32_t
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/records/run_record.hpp"  // for RunRecord, Logged
#include "poplarstream/runs/runs_state.hpp"  // for RunsState

namespace poplarstream {

// What a record did. Entries that are not among the refusals are granted. A cancellation of many
// runs can be refused for some of them. `isDuplicate`: the record was applied before under the same
// id, or lies before the state's offset; it changed nothing.
struct ApplyResult
{
    bool isDuplicate = false;
    std::vector<Refusal> refusals;

    bool isGranted(std::uint32_t index) const;
};

// Applies the next record of the stream. Deterministic: it uses nothing but the state, the offset
// and the log's time of the record.
ApplyResult apply(RunsState &state, const Logged<RunRecord> &logged);

}  // namespace poplarstream
