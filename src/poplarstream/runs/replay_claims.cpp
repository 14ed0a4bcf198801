#include <cmath>  // for llround

#include <fmt/format.h>  // for format

#include "poplarstream/runs/queries.hpp"  // for isLeaseValid
#include "replay_step.hpp"  // for Replay
#include "run_index.hpp"  // for setStage, setClaim, mutableRun

namespace poplarstream {
namespace {

// Whether what is reserved on the worker leaves room for the claim in the capacity that it states.
bool fits(const RunsState &state, const RunClaimed &claimed)
{
    const Resources &capacity = claimed.workerCapacity;
    if (capacity == Resources{}) {
        return true;
    }
    Reservation used;
    if (const auto found = state.reserved.find(claimed.worker); found != state.reserved.end()) {
        used = found->second;
    }
    const Resources &wanted = claimed.reserved;
    return used.milliCpus + std::llround(wanted.cpus * 1000) <= std::llround(capacity.cpus * 1000)
           && used.memoryMegabytes + static_cast<std::int64_t>(wanted.memoryMegabytes)
                      <= static_cast<std::int64_t>(capacity.memoryMegabytes)
           && used.accelerators + static_cast<std::int64_t>(wanted.accelerators)
                      <= static_cast<std::int64_t>(capacity.accelerators);
}

}  // namespace

Reason Replay::operator()(const RunClaimed &claimed)
{
    Run *run = mutableRun(state, claimed.run);
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
    if (!fits(state, claimed)) {
        return fmt::format("worker {} has too little left", claimed.worker.text());
    }
    setClaim(state, *run,
             Claim{token, claimed.owner, claimed.worker, claimed.workerBoot, claimed.reserved,
                   state.now, std::nullopt});
    setStage(state, *run, *stage);
    return {};
}

Reason Replay::operator()(const RunTakenOver &taken)
{
    Run *run = mutableRun(state, taken.run);
    if (!run) {
        return unknownRun;
    }
    if (!holds(*run, taken.token)) {
        return otherClaim;
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

Reason Replay::operator()(const RunStarted &started)
{
    Run *run = mutableRun(state, started.run);
    if (!run) {
        return unknownRun;
    }
    if (!holds(*run, started.token)) {
        return otherClaim;
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
