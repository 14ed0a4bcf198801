#pragma once

#include <map>  // for map
#include <vector>  // for vector

#include "poplarstream/runs/estimate.hpp"  // for WorkerOccupancy, ServiceBias
#include "poplarstream/runs/owner_state.hpp"  // for OwnerState
#include "poplarstream/runs/worker_view.hpp"  // for FleetView

namespace poplarstream {

// A placement candidate. Its occupancy grows while claims are proposed.
struct Candidate
{
    const WorkerView *worker = nullptr;
    WorkerOccupancy occupancy;
    std::uint32_t limit = 0;
    bool isOnProbation = false;
};

// The working state of one placement round.
struct Candidates
{
    std::vector<Candidate> workers;
    std::map<ServiceId, std::vector<std::size_t>> byService;
    std::map<ServiceId, ServiceBias> biases;
    std::map<RackId, std::map<ServiceId, std::uint32_t>> rackRuns;
    // Each tenant's dominant share of the zone, by its open claims.
    std::map<AccountId, double> shares;
    Resources total;
};

Candidates collectCandidates(const RunsState &state, const FleetView &fleet,
                             const OwnerState &ownerState, const RunPolicy &policy, TimePoint now);

// The largest of the shares of each resource (dominant resource fairness, Ghodsi et al. 2011).
double dominantShare(const Resources &size, const Resources &total);

// The bias of a service from finished and running tasks, computed once and cached.
const ServiceBias &biasOf(Candidates &candidates, const RunsState &state, const ServiceId &service);

}  // namespace poplarstream
