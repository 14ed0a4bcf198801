#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/runs/run_policy.hpp"  // for RunPolicy
#include "poplarstream/runs/runs_state.hpp"  // for RunsState
#include "poplarstream/runs/worker_view.hpp"  // for FleetView

namespace poplarstream {

// How many runs a worker may hold at once, by its record. A worker on probation (quarantined, or
// its latest attempt failed) should get only idempotent runs, since these can be retried elsewhere.
struct Concurrency
{
    std::uint32_t limit = 0;
    bool isOnProbation = false;
};

// A worker whose latest attempt failed gets one run at a time, after an exponential backoff, so
// that a worker that fails fast attracts no more work than others. A quarantined worker gets the
// longer probe delay. The limit of a worker without a record grows with `settledRuns`, the number
// of its tasks whose usage has settled.
Concurrency concurrencyLimit(const RunsState &state, const WorkerView &worker,
                             const RunPolicy &policy, std::uint32_t settledRuns);

// A proposal for the control stream (record WorkerQuarantine). `evidence` names no tenant.
struct QuarantineProposal
{
    HostId host;
    bool isQuarantined = false;
    std::string evidence;
};

// Proposes to quarantine workers on which several runs of several tenants failed in a row, not
// counting runs that also failed on other workers, and to release quarantined workers whose probe
// run succeeded.
std::vector<QuarantineProposal> proposeQuarantines(const RunsState &state, const FleetView &fleet,
                                                   const RunPolicy &policy);

}  // namespace poplarstream
