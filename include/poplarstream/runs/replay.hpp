#pragma once

#include <cstdint>  // for uint32_t
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/records/run_record.hpp"  // for RunRecord, Logged
#include "poplarstream/runs/runs_state.hpp"  // for RunsState

namespace poplarstream {

// The result of applying a record. Entries without a refusal are granted. A RunsCancelled entry can
// be refused for some of its runs. `isDuplicate` means that the record had no effect, because its
// id was applied before or its offset is below that of the state.
struct ApplyResult
{
    bool isDuplicate = false;
    std::vector<Refusal> refusals;

    bool isGranted(std::uint32_t index) const;
};

// Applies the next record of the stream. Deterministic: depends only on the state, the record, its
// offset and its log time.
ApplyResult apply(RunsState &state, const Logged<RunRecord> &logged);

}  // namespace poplarstream
