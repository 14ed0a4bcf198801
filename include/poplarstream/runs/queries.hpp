#pragma once

#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/verdict.hpp"  // for Verdict
#include "poplarstream/runs/runs_state.hpp"  // for RunsState

namespace poplarstream {

// The run, or null when it is not known (never accepted here, or forgotten).
const Run *findRun(const RunsState &state, const RunId &run);
const Run *findRunByKey(const RunsState &state, const TenantId &tenant, std::string_view key);

// Whether `token` is that of the present claim of the run or of an attempt of it that was given up.
// What a worker says about a task concerns this zone only if it is: a task of another zone can have
// the same token.
bool hasAttempt(const RunsState &state, const RunId &run, const FencingToken &token);

// What can be said for good about a run; empty while it is open.
std::optional<Verdict> verdictOf(const Run &run);

// Whether the owner's lease is valid by the log's time.
bool isLeaseValid(const RunsState &state, const EntryHostId &owner);

// The owners with a valid lease, in the order of their ids.
std::vector<EntryHostId> liveOwners(const RunsState &state);

// How many claims are open at a worker. A drain may proceed when it is 0.
std::uint32_t openClaims(const RunsState &state, const HostId &worker);

// Why the run is where it is, one sentence a line. Contains neither payload nor key nor result.
std::vector<std::string> explainRun(const RunsState &state, const RunId &run);

// Whether a record with this id was applied, as far back as record ids are remembered.
bool isRecordApplied(const RunsState &state, const RecordId &record);

// The hashes under which RunsState indexes runs.
std::uint64_t idHash(const RunId &run);
std::uint64_t keyHash(const TenantId &tenant, std::string_view key);

}  // namespace poplarstream
