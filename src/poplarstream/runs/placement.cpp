#include "poplarstream/runs/placement.hpp"

#include <algorithm>  // for max, find, min_element

#include "candidates.hpp"  // for Candidates, collectCandidates
#include "poplarstream/base/rendezvous.hpp"  // for rendezvousOwner
#include "poplarstream/runs/queries.hpp"  // for liveOwners

namespace poplarstream {
namespace {

struct TenantTurn
{
    const std::set<std::uint64_t> *queue = nullptr;
    std::set<std::uint64_t>::const_iterator next;
    double share = 0;
    double weight = 1;
    std::size_t misses = 0;
    std::size_t examined = 0;
};

struct Placement
{
    const RunsState &state;
    const OwnerState &ownerState;
    const RunPolicy &policy;
    Random &random;
    std::vector<EntryHostId> owners;
    Candidates candidates;
};

// Lower is better. Combines the utilization of the worker after the placement, the number of runs
// of the service in its rack, and a penalty for wasting an accelerator.
double placementScore(const Placement &placement, const Candidate &candidate, const Run &run,
                      const SizeEstimate &size)
{
    const WorkerOccupancy &occupancy = candidate.occupancy;
    const double cpus = (occupancy.cpus + size.mean.cpus) / std::max(1e-9, occupancy.limit.cpus);
    const double memory = (occupancy.memory + static_cast<double>(size.mean.memoryMegabytes))
                          / std::max(1.0, static_cast<double>(occupancy.limit.memoryMegabytes));
    double result = std::max(cpus, memory);
    const auto &racks = placement.candidates.rackRuns;
    if (const auto rack = racks.find(candidate.worker->rack); rack != racks.end()) {
        const auto runs = rack->second.find(run.accepted.service);
        result += runs != rack->second.end() ? 0.02 * runs->second : 0;
    }
    if (size.mean.accelerators == 0 && occupancy.limit.accelerators > 0) {
        result += 1;
    }
    return result;
}

// A non-idempotent run avoids workers on probation, but not forever unless they are quarantined:
// when all workers are on probation, only another run can clear one of them.
bool isAllowed(const Placement &placement, const Candidate &candidate, const Run &run)
{
    const auto &failedOn = run.failedOn;
    const bool isRisky =
            candidate.isOnProbation && !run.accepted.idempotent
            && (candidate.worker->condition == WorkerCondition::Quarantined
                || placement.state.now - run.waitingSince < placement.policy.unplaceableAfter);
    return candidate.occupancy.runs < candidate.limit && !isRisky
           && std::find(failedOn.begin(), failedOn.end(), candidate.worker->host) == failedOn.end();
}

// Several owners that see the same small free capacity would claim it concurrently, and all but one
// would be refused. A worker that is more than half full is therefore reserved for one owner at a
// time.
bool mayClaimAt(const Placement &placement, const Candidate &candidate)
{
    const WorkerOccupancy &occupancy = candidate.occupancy;
    if (occupancy.cpus < occupancy.limit.cpus / 2
        && occupancy.memory < static_cast<double>(occupancy.limit.memoryMegabytes) / 2) {
        return true;
    }
    const Milliseconds since{millisecondsSinceEpoch(placement.state.now)};
    return isResponsible(placement.owners, placement.ownerState.self,
                         RunId(candidate.worker->host.text()), since, placement.policy.ownerDelay);
}

// A run whose estimated size exceeds the worker may still have an empty worker to itself if its
// declared size fits, since the estimate can be wrong.
bool fitsOn(const Candidate &candidate, const Run &run, const SizeEstimate &size)
{
    return hasCapacity(candidate.occupancy, size)
           || (candidate.occupancy.runs == 0
               && fitsInto(run.accepted.declared, candidate.worker->capacity));
}

RunClaimed claimRun(Placement &placement, Candidate &candidate, const Run &run, SizeEstimate size)
{
    WorkerOccupancy &occupancy = candidate.occupancy;
    size.mean.cpus = std::min(size.mean.cpus, occupancy.limit.cpus);
    size.mean.memoryMegabytes =
            std::min(size.mean.memoryMegabytes, occupancy.limit.memoryMegabytes);
    const Resources stated = statedCapacity(occupancy);
    addTo(occupancy, size);
    occupancy.reservedCpus += size.mean.cpus;
    occupancy.reservedMemory += static_cast<double>(size.mean.memoryMegabytes);
    ++placement.candidates.rackRuns[candidate.worker->rack][run.accepted.service];
    return {run.id(),  placement.ownerState.self, candidate.worker->host,
            size.mean, candidate.worker->boot,    stated};
}

std::optional<RunClaimed> placeRun(Placement &placement, const Run &run)
{
    const auto &byService = placement.candidates.byService;
    const auto serving = byService.find(run.accepted.service);
    if (serving == byService.end()) {
        return std::nullopt;
    }
    const SizeEstimate size =
            estimatedSize(biasOf(placement.candidates, placement.state, run.accepted.service),
                          run.accepted.declared);
    Candidate *best = nullptr;
    double bestScore = 0;
    for (const std::size_t index : serving->second) {
        Candidate &candidate = placement.candidates.workers[index];
        if (!isAllowed(placement, candidate, run) || !fitsOn(candidate, run, size)) {
            continue;
        }
        // The random term keeps several owners from choosing the same worker.
        const double value =
                placementScore(placement, candidate, run, size) + 0.05 * placement.random.unit();
        if (!best || value < bestScore) {
            best = &candidate;
            bestScore = value;
        }
    }
    return best ? std::optional(claimRun(placement, *best, run, size)) : std::nullopt;
}

std::vector<TenantTurn> collectTurns(const Placement &placement, const FleetView &fleet)
{
    std::vector<TenantTurn> turns;
    const auto &shares = placement.candidates.shares;
    for (const auto &[tenant, queue] : placement.state.waiting) {
        const auto weight = fleet.weights.find(tenant);
        const auto share = shares.find(tenant);
        TenantTurn turn;
        turn.queue = &queue;
        turn.next = queue.begin();
        turn.share = share == shares.end() ? 0.0 : share->second;
        turn.weight = weight == fleet.weights.end() ? 1.0 : std::max(1e-6, weight->second);
        turns.push_back(turn);
    }
    return turns;
}

// The tenant's next run that this owner may claim, or null if none is left to try.
const Run *nextClaimableRun(const Placement &placement, TenantTurn &turn)
{
    const std::size_t maxExamined =
            placement.policy.lookAheadRuns * std::max<std::size_t>(1, placement.owners.size());
    while (turn.next != turn.queue->end() && turn.misses < placement.policy.lookAheadRuns
           && turn.examined++ < maxExamined) {
        const Run &run = placement.state.runs.find(*turn.next++)->second;
        if (run.failedOn.size() < maxFailedAttempts && run.losses < maxWorkerLosses
            && !isPending(placement.ownerState.proposals, run.id())
            && isResponsible(placement.owners, placement.ownerState.self, run.id(),
                             placement.state.now - run.waitingSince, placement.policy.ownerDelay)) {
            return &run;
        }
    }
    return nullptr;
}

}  // namespace

bool isResponsible(std::span<const EntryHostId> owners, const EntryHostId &self, const RunId &run,
                   Milliseconds waited, Milliseconds ownerDelay)
{
    if (owners.empty()) {
        return true;
    }
    const std::int64_t turn = waited / ownerDelay;
    const std::string key = turn <= 0 ? run.text() : run.text() + "/" + std::to_string(turn);
    return owners[rendezvousOwner(key, owners)] == self;
}

std::vector<RunEntry> proposeClaims(const RunsState &state, const FleetView &fleet,
                                    const OwnerState &ownerState, const RunPolicy &policy,
                                    TimePoint now, Random &random)
{
    std::vector<RunEntry> entries;
    if (state.waiting.empty()) {
        return entries;
    }
    Placement placement{
            state,  ownerState,        policy,
            random, liveOwners(state), collectCandidates(state, fleet, ownerState, policy, now)};
    for (Candidate &candidate : placement.candidates.workers) {
        candidate.limit = mayClaimAt(placement, candidate) ? candidate.limit : 0;
    }
    std::vector<TenantTurn> turns = collectTurns(placement, fleet);
    while (entries.size() < policy.claimsPerRound && !turns.empty()) {
        const auto turn = std::min_element(turns.begin(), turns.end(),
                                           [](const TenantTurn &a, const TenantTurn &b) {
                                               return a.share / a.weight < b.share / b.weight;
                                           });
        const Run *run = nextClaimableRun(placement, *turn);
        if (!run) {
            turns.erase(turn);
        } else if (auto claimed = placeRun(placement, *run)) {
            turn->share += dominantShare(claimed->reserved, placement.candidates.total);
            entries.emplace_back(std::move(*claimed));
        } else {
            ++turn->misses;
        }
    }
    return entries;
}

}  // namespace poplarstream
