#include <map>  // for map
#include <tuple>  // for tuple

#include <fmt/format.h>  // for format

#include "poplarstream/runs/estimate.hpp"  // for estimatedSize
#include "poplarstream/runs/placement.hpp"  // for isResponsible
#include "poplarstream/runs/queries.hpp"  // for isLeaseValid
#include "supervise.hpp"  // for DecisionStep

namespace poplarstream {
namespace {

// Where runs of one service and size can be placed.
struct Options
{
    bool isPlaceable = false;
    std::optional<ZoneId> otherZone;
    std::string reason;
};

Options optionsFor(const DecisionStep &step, const RunAccepted &accepted)
{
    const Resources estimate =
            estimatedSize(serviceBias(step.state, accepted.service, {}), accepted.declared).mean;
    const auto fitsOn = [&](const Resources &capacity) {
        return fitsInto(accepted.declared, capacity) || fitsInto(estimate, capacity);
    };
    Options options;
    std::size_t serving = 0;
    for (const WorkerView &worker : step.fleet.workers) {
        if (serves(worker, accepted.service)) {
            ++serving;
            options.isPlaceable |= fitsOn(worker.capacity);
        }
    }
    for (const ZoneOffer &offer : step.fleet.otherZones) {
        if (!options.otherZone && offer.service == accepted.service && fitsOn(offer.largest)) {
            options.otherZone = offer.zone;
        }
    }
    options.reason =
            serving == 0
                    ? fmt::format("No worker serves {}.", accepted.service.text())
                    : fmt::format(
                            "None of the {} workers that serve {} has {} processors, {} MB and {} "
                            "accelerators.",
                            serving, accepted.service.text(), accepted.declared.cpus,
                            accepted.declared.memoryMegabytes, accepted.declared.accelerators);
    return options;
}

// Callers can submit any number of distinct sizes; each one is evaluated once per sweep.
class OptionsCache
{
public:
    const Options &find(const DecisionStep &step, const RunAccepted &accepted)
    {
        const Resources &size = accepted.declared;
        const auto key =
                std::tuple(accepted.service, size.cpus, size.memoryMegabytes, size.accelerators);
        auto found = options_.find(key);
        if (found == options_.end()) {
            found = options_.emplace(key, optionsFor(step, accepted)).first;
        }
        return found->second;
    }

private:
    std::map<std::tuple<ServiceId, double, std::uint64_t, std::uint32_t>, Options> options_;
};

void sweepRun(DecisionStep &step, const Run &run, OptionsCache &cache)
{
    if (run.failedOn.size() >= maxFailedAttempts) {
        step.decision.entries.emplace_back(
                RunDeadLettered{run.id(), "The run failed on several workers."});
        return;
    }
    if (run.losses >= maxWorkerLosses) {
        step.decision.entries.emplace_back(
                RunDeadLettered{run.id(), "The run lost its worker too often."});
        return;
    }
    const Options &options = cache.find(step, run.accepted);
    if (options.isPlaceable || !step.fleet.isComplete) {
        return;
    }
    if (options.otherZone && !run.mayHaveStarted) {
        step.decision.entries.emplace_back(RunHandedOver{run.id(), *options.otherZone});
    } else if (step.state.now - run.acceptedAt >= step.policy.unplaceableAfter) {
        step.decision.entries.emplace_back(RunDeadLettered{run.id(), options.reason});
    }
}

}  // namespace

void sweepWaiting(DecisionStep &step, std::span<const EntryHostId> owners)
{
    OptionsCache cache;
    for (const auto &[tenant, queue] : step.state.waiting) {
        for (const std::uint64_t ordinal : queue) {
            const Run &run = step.state.runs.find(ordinal)->second;
            if (!isPending(step.ownerState.proposals, run.id())
                && isResponsible(owners, step.ownerState.self, run.id(),
                                 step.state.now - run.waitingSince - step.policy.unplaceableAfter,
                                 step.policy.ownerDelay)) {
                sweepRun(step, run, cache);
            }
        }
    }
}

void takeOver(DecisionStep &step, std::span<const EntryHostId> owners)
{
    for (const std::uint64_t ordinal : step.state.active) {
        const Run &run = step.state.runs.find(ordinal)->second;
        if (!run.claim || isLeaseValid(step.state, run.claim->owner)
            || isPending(step.ownerState.proposals, run.id())) {
            continue;
        }
        const auto lease = step.state.leases.find(run.claim->owner);
        const Milliseconds expiredFor =
                lease == step.state.leases.end() ? Milliseconds{0} : step.state.now - lease->second;
        if (isResponsible(owners, step.ownerState.self, run.id(), expiredFor,
                          step.policy.ownerDelay)) {
            step.decision.entries.emplace_back(
                    RunTakenOver{run.id(), run.claim->token, step.ownerState.self});
        }
    }
}

void deliverHandOvers(DecisionStep &step, std::span<const EntryHostId> owners)
{
    for (const std::uint64_t ordinal : step.state.pendingHandOvers) {
        const Run &run = step.state.runs.find(ordinal)->second;
        if (isPending(step.ownerState.proposals, run.id())) {
            continue;
        }
        if (step.ownerState.arrivedAt.contains(run.id())) {
            step.decision.entries.emplace_back(HandOverConfirmed{run.id()});
            continue;
        }
        const auto sent = step.ownerState.arrivalSentAt.find(run.id());
        const bool isDue = sent == step.ownerState.arrivalSentAt.end()
                           || step.now - sent->second >= step.policy.ownerDelay;
        if (isDue
            && isResponsible(owners, step.ownerState.self, run.id(), Milliseconds{0},
                             step.policy.ownerDelay)) {
            step.decision.arrivals.push_back(
                    {run.handedTo,
                     RunReceived{run.accepted, step.ownerState.zone, run.handedOverAt}});
        }
    }
}

}  // namespace poplarstream
