#pragma once

#include <span>  // for span
#include <vector>  // for vector

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/runs/owner_state.hpp"  // for OwnerState
#include "poplarstream/runs/run_policy.hpp"  // for RunPolicy
#include "poplarstream/runs/worker_view.hpp"  // for FleetView

namespace poplarstream {

// The claims that this owner proposes now. The tenant with the lowest weighted share goes first:
// the dominant share of the zone that its open claims hold, divided by its weight. Within a tenant,
// the oldest run that fits goes first. A run is placed on the least utilized worker that serves it
// and has capacity for its estimated size, avoiding workers where it failed and racks that hold
// many runs of the same service.
//
// A run is claimed by the live owner that wins its rendezvous hash, so that two owners do not claim
// the same run. After each `ownerDelay` of waiting, another hash selects the owner, in case the
// previous one cannot reach the workers.
std::vector<RunEntry> proposeClaims(const RunsState &state, const FleetView &fleet,
                                    const OwnerState &ownerState, const RunPolicy &policy,
                                    TimePoint now, Random &random);

// Whether this owner is responsible for `run` after it has waited for `waited`.
bool isResponsible(std::span<const EntryHostId> owners, const EntryHostId &self, const RunId &run,
                   Milliseconds waited, Milliseconds ownerDelay);

}  // namespace poplarstream
