#pragma once

#include <span>  // for span
#include <vector>  // for vector

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/runs/owner_state.hpp"  // for OwnerState
#include "poplarstream/runs/run_policy.hpp"  // for RunPolicy
#include "poplarstream/runs/worker_view.hpp"  // for FleetView

namespace poplarstream {

// The claims that this owner proposes now. Tenants take turns by the share of the zone that their
// open claims hold over their weight; within a tenant the oldest run that fits goes first. A run
// goes to the least filled worker that serves it and has room for its estimated size, away from
// workers where it failed and from racks that hold many runs of the same service.
//
// Of the live owners, the one that wins the rendezvous hash of the run claims it; after each
// `ownerDelay` of waiting the turn goes to the winner of another hash, so that a run whose owner
// cannot reach the workers gets another one, and two owners do not claim the same run.
std::vector<RunEntry> proposeClaims(const RunsState &state, const FleetView &fleet,
                                    const OwnerState &memory, const RunPolicy &policy,
                                    TimePoint now, Random &random);

// Whether this owner is the one to act for `run` after it has waited for `waited`.
bool isResponsible(std::span<const EntryHostId> owners, const EntryHostId &self, const RunId &run,
                   Milliseconds waited, Milliseconds ownerDelay);

}  // namespace poplarstream
