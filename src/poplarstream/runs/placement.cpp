#include "poplarstream/runs/placement.hpp"

#include <algorithm>  // for max, find, min_element
#include <map>  // for map

#include "poplarstream/base/rendezvous.hpp"  // for rendezvousOwner
#include "poplarstream/runs/estimate.hpp"  // for estimatedSize, roomOf
#include "poplarstream/runs/quarantine.hpp"  // for concurrencyLimit
#include "poplarstream/runs/queries.hpp"  // for liveOwners, findRun

namespace poplarstream {
namespace {

// A worker as it fills up while claims are proposed.
struct Candidate
{
    const WorkerView *worker = nullptr;
    Room room;
    std::uint32_t limit = 0;
    bool isSuspect = false;
};

struct TenantTurn
{
    const std::set<std::uint64_t> *queue = nullptr;
    std::set<std::uint64_t>::const_iterator next;
    double share = 0;
    double weight = 1;
    std::size_t misses = 0;
};

struct Placement
{
    const RunsState &state;
    const FleetView &fleet;
    const OwnerMemory &memory;
    const RunPolicy &policy;
    Random &random;
    std::vector<EntryHostId> owners;
    std::vector<Candidate> candidates;
    std::map<RackId, std::map<ServiceId, std::uint32_t>> rackRuns;
    std::map<TenantId, double> shares;
    Resources total;
    std::map<ServiceId, std::vector<std::size_t>> byService;
};

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

using ClaimsByWorker = std::map<HostId, std::vector<OpenClaim>>;

// The open claims, and those that this owner has proposed but not read back.
ClaimsByWorker collectClaims(Placement &placement)
{
    ClaimsByWorker claims;
    const auto add = [&](const Run &run, const HostId &host, const OpenClaim &claim) {
        claims[host].push_back(claim);
        placement.shares[run.accepted.tenant] += dominantShare(claim.reserved, placement.total);
        if (const WorkerView *worker = findWorker(placement.fleet, host)) {
            ++placement.rackRuns[worker->rack][run.accepted.service];
        }
    };
    const RunsState &state = placement.state;
    for (const std::uint64_t ordinal : state.active) {
        const Run &run = state.runs.find(ordinal)->second;
        if (run.claim) {
            add(run, run.claim->worker,
                {run.claim->token, run.claim->reserved,
                 run.claim->startedAt ? state.now - *run.claim->startedAt : Milliseconds{0}});
        }
    }
    for (const auto &[id, proposal] : placement.memory.proposals.pending) {
        for (const RunEntry &entry : proposal.record.entries) {
            const auto *claimed = std::get_if<RunClaimed>(&entry);
            if (!claimed) {
                continue;
            }
            const Run *run = findRun(state, claimed->run);
            if (run && run->stage == RunStage::Accepted) {
                add(*run, claimed->worker, {{}, claimed->reserved, Milliseconds{0}});
            }
        }
    }
    return claims;
}

void collectCandidates(Placement &placement, const ClaimsByWorker &claims, TimePoint now)
{
    static const std::vector<OpenClaim> none;
    for (const WorkerView &worker : placement.fleet.workers) {
        const bool isReachable = now - worker.lastHeard < placement.policy.workerLost;
        if (!isReachable || worker.condition == WorkerCondition::Draining
            || worker.condition == WorkerCondition::Away) {
            continue;
        }
        const Concurrency concurrency = concurrencyLimit(placement.state, worker, placement.policy);
        const auto open = claims.find(worker.host);
        const Room room = roomOf(worker, open == claims.end() ? none : open->second,
                                 placement.policy.fillLimit);
        if (room.runs >= concurrency.limit) {
            continue;
        }
        for (const ServiceId &service : worker.services) {
            placement.byService[service].push_back(placement.candidates.size());
        }
        placement.candidates.push_back({&worker, room, concurrency.limit, concurrency.isSuspect});
    }
}

// Lower is better: how full the worker is afterwards, how many runs of the service its rack holds,
// and whether it wastes an accelerator.
double score(const Placement &placement, const Candidate &candidate, const Run &run,
             const Resources &size)
{
    const Resources &capacity = candidate.worker->capacity;
    const Resources used{capacity.cpus - candidate.room.left.cpus + size.cpus,
                         capacity.memoryMegabytes - candidate.room.left.memoryMegabytes
                                 + size.memoryMegabytes,
                         0};
    double result = dominantShare(used, capacity);
    if (const auto rack = placement.rackRuns.find(candidate.worker->rack);
        rack != placement.rackRuns.end()) {
        const auto runs = rack->second.find(run.accepted.service);
        if (runs != rack->second.end()) {
            result += 0.02 * runs->second;
        }
    }
    if (size.accelerators == 0 && capacity.accelerators > 0) {
        result += 1;
    }
    return result;
}

// A non-idempotent run avoids suspect workers, but not for ever: when every worker is suspect, only
// another run can clear one of them.
bool isAllowed(const Placement &placement, const Candidate &candidate, const Run &run)
{
    const auto &failedOn = run.failedOn;
    const bool isRisky =
            candidate.isSuspect && !run.accepted.idempotent
            && (candidate.worker->condition == WorkerCondition::Quarantined
                || placement.state.now - run.waitingSince < placement.policy.unplaceableAfter);
    return candidate.room.runs < candidate.limit && !isRisky
           && std::find(failedOn.begin(), failedOn.end(), candidate.worker->host) == failedOn.end();
}

// A size larger than any worker is cut to a whole worker, since the estimate can be off.
Resources cutToWorker(const Resources &size, const WorkerView &worker, double fillLimit)
{
    return {std::min(size.cpus, worker.capacity.cpus * fillLimit),
            std::min(size.memoryMegabytes,
                     static_cast<std::uint64_t>(static_cast<double>(worker.capacity.memoryMegabytes)
                                                * fillLimit)),
            size.accelerators};
}

std::optional<RunClaimed> placeRun(Placement &placement, const Run &run)
{
    const auto serving = placement.byService.find(run.accepted.service);
    if (serving == placement.byService.end()) {
        return std::nullopt;
    }
    const Resources estimate =
            estimatedSize(placement.state, run.accepted.service, run.accepted.declared);
    Candidate *best = nullptr;
    Resources bestSize;
    double bestScore = 0;
    for (const std::size_t index : serving->second) {
        Candidate &candidate = placement.candidates[index];
        const Resources size = cutToWorker(estimate, *candidate.worker, placement.policy.fillLimit);
        if (!fitsInto(run.accepted.declared, candidate.worker->capacity)
            && !fitsInto(estimate, candidate.worker->capacity)) {
            continue;
        }
        if (!isAllowed(placement, candidate, run) || !fitsInto(size, candidate.room.left)) {
            continue;
        }
        // The random part keeps several owners from choosing the same worker.
        const double value =
                score(placement, candidate, run, size) + 0.05 * placement.random.unit();
        if (!best || value < bestScore) {
            best = &candidate;
            bestSize = size;
            bestScore = value;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    best->room.left.cpus -= bestSize.cpus;
    best->room.left.memoryMegabytes -= bestSize.memoryMegabytes;
    best->room.left.accelerators -= bestSize.accelerators;
    ++best->room.runs;
    ++placement.rackRuns[best->worker->rack][run.accepted.service];
    return RunClaimed{run.id(), placement.memory.self, best->worker->host,
                      bestSize, best->worker->boot,    best->room.statedCapacity};
}

std::vector<TenantTurn> collectTurns(const Placement &placement)
{
    std::vector<TenantTurn> turns;
    for (const auto &[tenant, queue] : placement.state.waiting) {
        const auto weight = placement.fleet.weights.find(tenant);
        const auto share = placement.shares.find(tenant);
        turns.push_back(
                {&queue, queue.begin(), share == placement.shares.end() ? 0.0 : share->second,
                 weight == placement.fleet.weights.end() ? 1.0 : std::max(1e-6, weight->second),
                 0});
    }
    return turns;
}

// The tenant's next run that this owner may claim, or null when none is left to try.
const Run *nextRun(const Placement &placement, TenantTurn &turn)
{
    while (turn.next != turn.queue->end() && turn.misses < placement.policy.lookAhead) {
        const Run &run = placement.state.runs.find(*turn.next++)->second;
        if (run.failedOn.size() < maxFaults && run.losses < maxLosses
            && !isPending(placement.memory.proposals, run.id())
            && isMine(placement.owners, placement.memory.self, run.id(),
                      placement.state.now - run.waitingSince, placement.policy.ownerDelay)) {
            return &run;
        }
    }
    return nullptr;
}

}  // namespace

bool isMine(std::span<const EntryHostId> owners, const EntryHostId &self, const RunId &run,
            Milliseconds waited, Milliseconds ownerDelay)
{
    return owners.empty() || waited >= ownerDelay
           || owners[rendezvousOwner(run.text(), owners)] == self;
}

std::vector<RunEntry> proposeClaims(const RunsState &state, const FleetView &fleet,
                                    const OwnerMemory &memory, const RunPolicy &policy,
                                    TimePoint now, Random &random)
{
    std::vector<RunEntry> entries;
    if (state.waiting.empty()) {
        return entries;
    }
    Placement placement{state, fleet, memory, policy, random, liveOwners(state),
                        {},    {},    {},     {},     {}};
    for (const WorkerView &worker : fleet.workers) {
        placement.total.cpus += worker.capacity.cpus;
        placement.total.memoryMegabytes += worker.capacity.memoryMegabytes;
        placement.total.accelerators += worker.capacity.accelerators;
    }
    collectCandidates(placement, collectClaims(placement), now);
    std::vector<TenantTurn> turns = collectTurns(placement);
    while (entries.size() < policy.claimsPerRound && !turns.empty()) {
        const auto turn = std::min_element(turns.begin(), turns.end(),
                                           [](const TenantTurn &a, const TenantTurn &b) {
                                               return a.share / a.weight < b.share / b.weight;
                                           });
        const Run *run = nextRun(placement, *turn);
        if (!run) {
            turns.erase(turn);
            continue;
        }
        if (auto claimed = placeRun(placement, *run)) {
            turn->share += dominantShare(claimed->reserved, placement.total);
            entries.emplace_back(std::move(*claimed));
        } else {
            ++turn->misses;
        }
    }
    return entries;
}

}  // namespace poplarstream
