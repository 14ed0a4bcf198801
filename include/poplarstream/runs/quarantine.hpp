#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/runs/run_policy.hpp"  // for RunPolicy
#include "poplarstream/runs/runs_state.hpp"  // for RunsState
#include "poplarstream/runs/worker_view.hpp"  // for FleetView

namespace poplarstream {

// How many runs a worker may hold at once, by its record. A suspect worker gets idempotent runs
// only, since a failed one can be tried elsewhere.
struct Concurrency
{
    std::uint32_t limit = 0;
    bool isSuspect = false;
};

// A worker whose latest attempt failed gets one run at a time, after a delay that doubles with each
// further failure, so that a worker that fails fast attracts no more work than others. The delay of
// a quarantined worker is the longer probe delay. A worker without any record may hold more once
// the usage of some of its tasks, `settledRuns`, has settled.
Concurrency concurrencyLimit(const RunsState &state, const WorkerView &worker,
                             const RunPolicy &policy, std::uint32_t settledRuns);

// A proposal for the control stream (record WorkerQuarantine). `evidence` names no tenant.
struct QuarantineProposal
{
    HostId host;
    bool isQuarantined = false;
    std::string evidence;
};

// Workers that failed several runs of several tenants in a row, without runs that failed on other
// workers as well; and quarantined workers whose probe run succeeded.
std::vector<QuarantineProposal> proposeQuarantines(const RunsState &state, const FleetView &fleet,
                                                   const RunPolicy &policy);

}  // namespace poplarstream
