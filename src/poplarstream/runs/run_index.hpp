#pragma once

#include "poplarstream/runs/runs_state.hpp"  // for RunsState, Run

namespace poplarstream {

// Keeps the indexes of a RunsState consistent with its runs. Used only by replay and by the
// snapshot reader.

// Returns the run for modification, or null if it is unknown.
Run *findMutableRun(RunsState &state, const RunId &run);

// Adds a run and indexes it. `run.ordinal` must not be in use.
Run &insertRun(RunsState &state, Run run);

// Indexes a run that is already in `state.runs`.
void indexRun(RunsState &state, Run &run);

// Moves a run to another stage. A final stage ends the claim and clears the payload (except while
// a hand-over is unconfirmed).
void setStage(RunsState &state, Run &run, RunStage stage);

// Sets, replaces or ends the claim and its reservation on the worker.
void setClaim(RunsState &state, Run &run, std::optional<Claim> claim);

// Completes a hand-over whose arrival is confirmed.
void confirmHandOver(RunsState &state, Run &run);

// Evicts ended runs and arrivals that are past their retention, and excess ended runs.
void evictExpired(RunsState &state);

// Stores the record or arrival for deduplication. Returns false if it was seen before.
bool markRecordSeen(RunsState &state, const RecordId &record);
bool markArrivalSeen(RunsState &state, std::uint64_t arrival);

// Adds the outcome of an attempt to the history of the worker.
void recordOutcome(RunsState &state, const Run &run, const HostId &worker, bool isFault);

}  // namespace poplarstream
