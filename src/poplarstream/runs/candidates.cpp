#include "candidates.hpp"

#include <algorithm>  // for max

#include "poplarstream/runs/quarantine.hpp"  // for concurrencyLimit
#include "poplarstream/runs/queries.hpp"  // for findRun

namespace poplarstream {
namespace {

struct ClaimOfRun
{
    const Run *run = nullptr;
    OpenClaim claim;
};
using ClaimsByWorker = std::map<HostId, std::vector<ClaimOfRun>>;

// The open claims, and those that this owner has proposed but not read back.
ClaimsByWorker collectClaims(const RunsState &state, const OwnerState &ownerState)
{
    ClaimsByWorker claims;
    for (const std::uint64_t ordinal : state.active) {
        const Run &run = state.runs.find(ordinal)->second;
        if (run.claim) {
            const Milliseconds age =
                    run.claim->startedAt ? state.now - *run.claim->startedAt : Milliseconds{0};
            claims[run.claim->worker].push_back(
                    {&run, {run.claim->token, run.claim->reserved, {}, age}});
        }
    }
    for (const auto &[id, proposal] : ownerState.proposals.pending) {
        for (const RunEntry &entry : proposal.record.entries) {
            const auto *claimed = std::get_if<RunClaimed>(&entry);
            const Run *run = claimed ? findRun(state, claimed->run) : nullptr;
            if (run && run->stage == RunStage::Accepted) {
                claims[claimed->worker].push_back(
                        {run, {{}, claimed->reserved, {}, Milliseconds{0}}});
            }
        }
    }
    return claims;
}

// The ratios of measured to declared size of the running tasks whose usage has settled.
std::map<ServiceId, std::vector<UsageRatios>> runningSamples(const FleetView &fleet,
                                                             const ClaimsByWorker &claims)
{
    std::map<ServiceId, std::vector<UsageRatios>> samples;
    for (const auto &[host, open] : claims) {
        const WorkerView *worker = findWorker(fleet, host);
        if (!worker || !worker->usage) {
            continue;
        }
        for (const ClaimOfRun &claim : open) {
            const auto measured = measuredUsage(*worker, claim.claim.token);
            const Resources &declared = claim.run->accepted.declared;
            if (measured && measured->isSettled && declared.cpus > 0
                && declared.memoryMegabytes > 0) {
                samples[claim.run->accepted.service].push_back(
                        {measured->usage.cpus / declared.cpus,
                         static_cast<double>(measured->usage.memoryMegabytes)
                                 / static_cast<double>(declared.memoryMegabytes),
                         0});
            }
        }
    }
    return samples;
}

void addClaims(Candidates &candidates, const WorkerView &worker, std::vector<ClaimOfRun> &open)
{
    for (ClaimOfRun &claim : open) {
        const RunAccepted &accepted = claim.run->accepted;
        claim.claim.size = estimatedSize(candidates.biases[accepted.service], accepted.declared);
        candidates.shares[accepted.tenant] += dominantShare(claim.claim.reserved, candidates.total);
        ++candidates.rackRuns[worker.rack][accepted.service];
    }
}

void addWorker(Candidates &candidates, const RunsState &state, const WorkerView &worker,
               std::span<const ClaimOfRun> open, const RunPolicy &policy)
{
    std::vector<OpenClaim> claims;
    for (const ClaimOfRun &claim : open) {
        claims.push_back(claim.claim);
    }
    const WorkerOccupancy occupancy = occupancyOf(worker, claims, policy);
    const Concurrency concurrency = concurrencyLimit(state, worker, policy, occupancy.settledRuns);
    if (occupancy.runs >= concurrency.limit) {
        return;
    }
    for (const ServiceId &service : worker.services) {
        candidates.byService[service].push_back(candidates.workers.size());
    }
    candidates.workers.push_back(
            {&worker, occupancy, concurrency.limit, concurrency.isOnProbation});
}

}  // namespace

Candidates collectCandidates(const RunsState &state, const FleetView &fleet,
                             const OwnerState &ownerState, const RunPolicy &policy, TimePoint now)
{
    Candidates candidates;
    for (const WorkerView &worker : fleet.workers) {
        candidates.total.cpus += worker.capacity.cpus;
        candidates.total.memoryMegabytes += worker.capacity.memoryMegabytes;
        candidates.total.accelerators += worker.capacity.accelerators;
    }
    ClaimsByWorker claims = collectClaims(state, ownerState);
    const auto running = runningSamples(fleet, claims);
    for (const auto &[host, open] : claims) {
        for (const ClaimOfRun &claim : open) {
            const ServiceId &service = claim.run->accepted.service;
            if (!candidates.biases.contains(service)) {
                const auto samples = running.find(service);
                candidates.biases[service] = serviceBias(
                        state, service,
                        samples == running.end() ? std::span<const UsageRatios>{}
                                                 : std::span<const UsageRatios>(samples->second));
            }
        }
    }
    for (const WorkerView &worker : fleet.workers) {
        std::vector<ClaimOfRun> &open = claims[worker.host];
        addClaims(candidates, worker, open);
        const bool isReachable = now - worker.lastHeard < policy.workerLostAfter;
        if (isReachable && worker.condition != WorkerCondition::Draining
            && worker.condition != WorkerCondition::Away) {
            addWorker(candidates, state, worker, open, policy);
        }
    }
    return candidates;
}

double dominantShare(const Resources &size, const Resources &total)
{
    double share = 0;
    if (total.cpus > 0) {
        share = std::max(share, size.cpus / total.cpus);
    }
    if (total.memoryMegabytes > 0) {
        share = std::max(share, static_cast<double>(size.memoryMegabytes)
                                        / static_cast<double>(total.memoryMegabytes));
    }
    if (total.accelerators > 0) {
        share = std::max(share, static_cast<double>(size.accelerators) / total.accelerators);
    }
    return share;
}

const ServiceBias &biasOf(Candidates &candidates, const RunsState &state, const ServiceId &service)
{
    auto found = candidates.biases.find(service);
    if (found == candidates.biases.end()) {
        found = candidates.biases.emplace(service, serviceBias(state, service, {})).first;
    }
    return found->second;
}

}  // namespace poplarstream
