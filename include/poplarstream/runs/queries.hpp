#pragma once

#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/verdict.hpp"  // for Verdict
#include "poplarstream/runs/runs_state.hpp"  // for RunsState

namespace poplarstream {

// Returns the run, or null if it was never accepted in this zone or has been evicted.
const Run *findRun(const RunsState &state, const RunId &run);
const Run *findRunByKey(const RunsState &state, const AccountId &tenant, std::string_view key);

// Whether `token` belongs to the current claim or to a lost attempt of the run. Worker reports
// about other tasks are ignored, since a task of another zone can have the same token.
bool hasAttempt(const RunsState &state, const RunId &run, const FencingToken &token);

// The final verdict on a run; empty while the run is open.
std::optional<Verdict> verdictOf(const Run &run);

// Whether the lease of the owner is valid at log time.
bool isLeaseValid(const RunsState &state, const EntryHostId &owner);

// The owners with a valid lease, sorted by id.
std::vector<EntryHostId> liveOwners(const RunsState &state);

// The number of open claims on a worker. A drain may proceed when it is 0.
std::uint32_t openClaimCount(const RunsState &state, const HostId &worker);

// Explains the state of the run, one sentence per line. Never contains payload, key or result.
std::vector<std::string> explainRun(const RunsState &state, const RunId &run);

// Whether a record with this id is among the most recent maxRecentRecords that were applied.
bool isRecordApplied(const RunsState &state, const RecordId &record);

// The hashes by which RunsState indexes runs.
std::uint64_t idHash(const RunId &run);
std::uint64_t keyHash(const AccountId &tenant, std::string_view key);

}  // namespace poplarstream
