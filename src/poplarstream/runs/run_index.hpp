#pragma once

#include "poplarstream/runs/runs_state.hpp"  // for RunsState, Run

namespace poplarstream {

// Keeps the indexes of a RunsState in step with its runs. Used by the replay and by the reader of
// snapshots only.

// The run for a change, or null.
Run *mutableRun(RunsState &state, const RunId &run);

// Adds a run and enters it in the indexes of its stage. `run.ordinal` must not be in use.
Run &insertRun(RunsState &state, Run run);

// Enters a run that is in `state.runs` already in the indexes.
void indexRun(RunsState &state, Run &run);

// Moves a run to another stage. In a final stage the claim ends and the payload is dropped (except
// while a hand-over is not confirmed).
void setStage(RunsState &state, Run &run, RunStage stage);

// Sets, replaces or ends the claim and the reservation at the worker that goes with it.
void setClaim(RunsState &state, Run &run, std::optional<Claim> claim);

// Ends a hand-over whose arrival is confirmed.
void confirmHandOver(RunsState &state, Run &run);

// Forgets ended runs and arrivals that are past their retention.
void forgetOld(RunsState &state);

// Returns false when the record was seen before; otherwise remembers it.
bool rememberRecord(RunsState &state, const RecordId &record);
bool rememberArrival(RunsState &state, std::uint64_t arrival);

// Keeps how an attempt ended at a worker.
void rememberOutcome(RunsState &state, const Run &run, const HostId &worker, bool isFault);

}  // namespace poplarstream
