#include <cmath>  // for llround

#include <fmt/format.h>  // for format

#include "poplarstream/runs/queries.hpp"  // for isLeaseValid
#include "replay_step.hpp"  // for Replay
#include "run_index.hpp"  // for setStage, setClaim, findMutableRun

namespace poplarstream {
namespace {

// Whether the claim fits into the worker capacity that it declares, beside existing reservations.
bool fitsCapacity(const RunsState &state, const RunClaimed &claimed)
{
    const Resources &capacity = claimed.workerCapacity;
    if (capacity == Resources{}) {
        return true;
    }
    Reservation used;
    if (const auto found = state.reserved.find(claimed.worker); found != state.reserved.end()) {
        used = found->second;
    }
    const Resources &requested = claimed.reserved;
    return used.milliCpus + std::llround(requested.cpus * 1000)
                   <= std::llround(capacity.cpus * 1000)
           && used.memoryMegabytes + static_cast<std::int64_t>(requested.memoryMegabytes)
                      <= static_cast<std::int64_t>(capacity.memoryMegabytes)
           && used.accelerators + static_cast<std::int64_t>(requested.accelerators)
                      <= static_cast<std::int64_t>(capacity.accelerators);
}

}  // namespace

RefusalReason Replay::operator()(const RunClaimed &claimed)
{
    Run *run = findMutableRun(state, claimed.run);
    if (!run) {
        return unknownRun;
    }
    const auto stage = next(run->stage, RunEvent::Claim);
    if (!stage) {
        return invalidStage(*run);
    }
    if (!isLeaseValid(state, claimed.owner)) {
        return fmt::format("the lease of {} has lapsed", claimed.owner.text());
    }
    if (run->failedOn.size() >= maxFailedAttempts || run->losses >= maxWorkerLosses) {
        return "the run has used all its attempts";
    }
    if (!fitsCapacity(state, claimed)) {
        return fmt::format("worker {} has too little left", claimed.worker.text());
    }
    setClaim(state, *run,
             Claim{token, claimed.owner, claimed.worker, claimed.workerBoot, claimed.reserved,
                   state.now, std::nullopt});
    setStage(state, *run, *stage);
    return {};
}

RefusalReason Replay::operator()(const RunTakenOver &taken)
{
    Run *run = findMutableRun(state, taken.run);
    if (!run) {
        return unknownRun;
    }
    if (!holdsClaim(*run, taken.token)) {
        return staleToken;
    }
    if (isLeaseValid(state, run->claim->owner)) {
        return fmt::format("the lease of {} is valid", run->claim->owner.text());
    }
    if (!isLeaseValid(state, taken.owner)) {
        return fmt::format("the lease of {} has lapsed", taken.owner.text());
    }
    run->claim->owner = taken.owner;
    return {};
}

RefusalReason Replay::operator()(const RunStarted &started)
{
    Run *run = findMutableRun(state, started.run);
    if (!run) {
        return unknownRun;
    }
    if (!holdsClaim(*run, started.token)) {
        return staleToken;
    }
    const auto stage = next(run->stage, RunEvent::Start);
    if (!stage || run->claim->startedAt) {
        return "the start is known already";
    }
    run->claim->startedAt = state.now;
    run->mayHaveStarted = true;
    setStage(state, *run, *stage);
    return {};
}

}  // namespace poplarstream
