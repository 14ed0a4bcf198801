#include "poplarstream/runs/replay.hpp"

#include <algorithm>  // for any_of, find_if, erase_if
#include <cmath>  // for llround

#include <fmt/format.h>  // for format

#include "poplarstream/base/rendezvous.hpp"  // for stableHash
#include "poplarstream/runs/queries.hpp"  // for isLeaseValid, findRun
#include "run_index.hpp"  // for setStage, setClaim, insertRun

namespace poplarstream {
namespace {

// Why an entry was refused; empty when it is granted.
using Reason = std::string;

struct Replay
{
    RunsState &state;
    Applied &applied;
    FencingToken token;  // of the entry at hand

    Reason operator()(const RunAccepted &accepted);
    Reason operator()(const RunClaimed &claimed);
    Reason operator()(const RunTakenOver &taken);
    Reason operator()(const RunStarted &started);
    Reason operator()(const RunFinished &finished);
    Reason operator()(const RunReleased &released);
    Reason operator()(const RunsCancelled &cancelled);
    Reason operator()(const RunSetAside &setAside);
    Reason operator()(const RunHandedOver &handed);
    Reason operator()(const RunReceived &received);
    Reason operator()(const HandOverConfirmed &confirmed);
    Reason operator()(const OwnerLease &lease);
    Reason operator()(const SnapshotPart &) { return {}; }

    void refuse(const RunId &run, Reason reason);
};

Reason invalidStage(const Run &run)
{
    return fmt::format("the run is {}", stageText(run.stage));
}

const Reason unknownRun = "the run is not known";
const Reason otherClaim = "the claim is over or another one was granted";

bool holds(const Run &run, const FencingToken &token)
{
    return run.claim && run.claim->token == token;
}

auto lostAttempt(Run &run, const FencingToken &token)
{
    return std::find_if(run.lost.begin(), run.lost.end(),
                        [&](const LostAttempt &attempt) { return attempt.token == token; });
}

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

void insertAccepted(RunsState &state, const RunAccepted &accepted)
{
    Run run;
    run.accepted = accepted;
    run.ordinal = state.nextOrdinal++;
    run.acceptedAt = run.waitingSince = state.now;
    insertRun(state, std::move(run));
}

Reason Replay::operator()(const RunAccepted &accepted)
{
    if (findRun(state, accepted.run)) {
        return "the run id is in use";
    }
    if (!accepted.idempotencyKey.empty()) {
        if (const Run *first = findRunByKey(state, accepted.tenant, accepted.idempotencyKey)) {
            return first->accepted.payloadHash == accepted.payloadHash
                           ? fmt::format("the same request was accepted before as {}",
                                         first->id().text())
                           : "the idempotency key was used before with another payload";
        }
    }
    insertAccepted(state, accepted);
    return {};
}

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
    if (run->failedOn.size() >= maxFaults || run->losses >= maxLosses) {
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

void learnSize(RunsState &state, const Run &run, const RunFinished &finished)
{
    const auto ratio = [](double measured, double declared) {
        return declared > 0 ? measured / declared : 0;
    };
    const RunAccepted &accepted = run.accepted;
    const SizeSample sample{ratio(finished.peak.cpus, accepted.declared.cpus),
                            ratio(static_cast<double>(finished.peak.memoryMegabytes),
                                  static_cast<double>(accepted.declared.memoryMegabytes)),
                            ratio(static_cast<double>(finished.ran.count()),
                                  static_cast<double>(accepted.declaredDuration.count()))};
    if (sample == SizeSample{}) {
        return;
    }
    std::deque<SizeSample> &samples = state.sizes[accepted.service];
    samples.push_back(sample);
    if (samples.size() > maxSamplesPerService) {
        samples.pop_front();
    }
}

Reason Replay::operator()(const RunFinished &finished)
{
    Run *run = mutableRun(state, finished.run);
    if (!run) {
        return unknownRun;
    }
    const bool isLate = run->stage == RunStage::Cancelling
                        && lostAttempt(*run, finished.token) != run->lost.end();
    if (!holds(*run, finished.token) && !isLate) {
        return isFinal(run->stage) ? invalidStage(*run) : otherClaim;
    }
    const RunEvent event = finished.outcome == RunOutcome::Succeeded ? RunEvent::Succeed
                           : finished.outcome == RunOutcome::Failed  ? RunEvent::Fail
                                                                     : RunEvent::LoseTrack;
    const auto stage = next(run->stage, event);
    if (!stage) {
        return invalidStage(*run);
    }
    run->mayHaveStarted = true;
    if (event != RunEvent::LoseTrack && !isLate) {
        rememberOutcome(state, *run, run->claim->worker, event == RunEvent::Fail);
        learnSize(state, *run, finished);
    }
    run->result = finished.result;
    setStage(state, *run, *stage);
    return {};
}

// Why a claim of this run must not be released for this cause; empty when it may.
Reason releaseFault(const Run &run, const RunReleased &released)
{
    const bool isCancelling = run.stage == RunStage::Cancelling;
    switch (released.cause) {
    case ReleaseCause::NeverStarted:
        return run.claim && run.claim->token == released.token && run.claim->startedAt
                       ? "the start of the run is known"
                       : Reason{};
    case ReleaseCause::Checkpointed:
        return {};
    case ReleaseCause::Lost:
        return isCancelling ? "a lost attempt does not confirm a cancellation"
               : run.accepted.idempotent
                       ? Reason{}
                       : "the run is not idempotent and may have run at the lost worker";
    case ReleaseCause::Stopped:
    case ReleaseCause::Failed:
        return isCancelling || run.accepted.idempotent
                       ? Reason{}
                       : "the run is not idempotent and must not start twice";
    }
    return "the cause is not known";
}

// The attempt no longer stands in the way of a cancellation.
void settleCancellation(RunsState &state, Run &run)
{
    const bool isSettled = !run.claim && run.lost.empty();
    setStage(state, run, *next(run.stage, isSettled ? RunEvent::ConfirmCancel : RunEvent::Release));
}

Reason Replay::operator()(const RunReleased &released)
{
    Run *run = mutableRun(state, released.run);
    if (!run) {
        return unknownRun;
    }
    const auto lost = lostAttempt(*run, released.token);
    const bool isHeld = holds(*run, released.token);
    if (!isHeld && lost == run->lost.end()) {
        return isFinal(run->stage) ? invalidStage(*run) : otherClaim;
    }
    if (Reason fault = releaseFault(*run, released); !fault.empty()) {
        return fault;
    }
    if (!isHeld) {
        // A lost attempt is settled late; the run itself waits, runs elsewhere or is cancelled.
        if (released.cause == ReleaseCause::Lost) {
            return "the attempt is known as lost";
        }
        run->lost.erase(lost);
    } else {
        const Claim claim = *run->claim;
        run->mayHaveStarted |= released.cause != ReleaseCause::NeverStarted;
        if (released.cause == ReleaseCause::Lost) {
            run->lost.push_back({claim.token, claim.worker, claim.workerBoot});
            ++run->losses;
        }
        if (released.workerFault) {
            run->failedOn.push_back(claim.worker);
            rememberOutcome(state, *run, claim.worker, true);
        }
        if (!released.checkpoint.empty()) {
            run->checkpoint = released.checkpoint;
        }
        run->reason = released.reason;
        setClaim(state, *run, std::nullopt);
        if (run->stage != RunStage::Cancelling) {
            setStage(state, *run, *next(run->stage, RunEvent::Release));
        }
    }
    if (run->stage == RunStage::Cancelling) {
        settleCancellation(state, *run);
    }
    return {};
}

Reason Replay::operator()(const RunsCancelled &cancelled)
{
    for (const RunId &id : cancelled.runs) {
        Run *run = mutableRun(state, id);
        if (!run) {
            refuse(id, unknownRun);
            continue;
        }
        const bool isOutstanding = run->claim || !run->lost.empty();
        const auto stage =
                next(run->stage, isOutstanding ? RunEvent::CancelOutstanding : RunEvent::Cancel);
        if (!stage) {
            refuse(id, invalidStage(*run));
            continue;
        }
        run->reason = "The caller cancelled it.";
        setStage(state, *run, *stage);
    }
    return {};
}

Reason Replay::operator()(const RunSetAside &setAside)
{
    Run *run = mutableRun(state, setAside.run);
    if (!run) {
        return unknownRun;
    }
    const auto stage = next(run->stage, RunEvent::SetAside);
    if (!stage) {
        return invalidStage(*run);
    }
    run->reason = setAside.reason;
    setStage(state, *run, *stage);
    return {};
}

Reason Replay::operator()(const RunHandedOver &handed)
{
    Run *run = mutableRun(state, handed.run);
    if (!run) {
        return unknownRun;
    }
    const auto stage = next(run->stage, RunEvent::HandOver);
    if (!stage) {
        return invalidStage(*run);
    }
    if (run->mayHaveStarted) {
        // The other zone could neither revoke the earlier attempt nor answer "not run" truthfully.
        return "an attempt in this zone may have started";
    }
    run->handedTo = handed.to;
    run->handedOverAt = token.offset;
    setStage(state, *run, *stage);
    return {};
}

Reason Replay::operator()(const RunReceived &received)
{
    const std::uint64_t arrival = stableHash(
            received.accepted.run.text(), stableHash(received.from.text(), received.handedOverAt));
    if (!rememberArrival(state, arrival)) {
        return "the run has arrived before";
    }
    if (findRun(state, received.accepted.run)) {
        return "the run id is in use";
    }
    // Its key was checked where it was accepted; to refuse it here would lose an accepted run.
    insertAccepted(state, received.accepted);
    return {};
}

Reason Replay::operator()(const HandOverConfirmed &confirmed)
{
    Run *run = mutableRun(state, confirmed.run);
    if (!run) {
        return unknownRun;
    }
    if (!state.leaving.contains(run->ordinal)) {
        return "no hand-over of the run is open";
    }
    confirmHandOver(state, *run);
    return {};
}

Reason Replay::operator()(const OwnerLease &lease)
{
    if (lease.duration.count() <= 0) {
        state.leases.erase(lease.owner);
        return {};
    }
    state.leases[lease.owner] = state.now + lease.duration;
    std::erase_if(state.leases,
                  [&](const auto &other) { return other.second + resultRetention < state.now; });
    return {};
}

void Replay::refuse(const RunId &run, Reason reason)
{
    applied.refusals.push_back({token.offset, token.index, run, std::move(reason)});
    state.refusals.push_back(applied.refusals.back());
    if (state.refusals.size() > maxRefusals) {
        state.refusals.pop_front();
    }
}

RunId runOf(const RunEntry &entry)
{
    return std::visit(
            [](const auto &e) -> RunId {
                if constexpr (requires { e.run; }) {
                    return e.run;
                } else if constexpr (requires { e.accepted.run; }) {
                    return e.accepted.run;
                } else {
                    return {};
                }
            },
            entry);
}

}  // namespace

bool Applied::isGranted(std::uint32_t index) const
{
    return !isDuplicate
           && std::none_of(refusals.begin(), refusals.end(),
                           [&](const Refusal &refusal) { return refusal.index == index; });
}

Applied apply(RunsState &state, const Logged<RunRecord> &logged)
{
    Applied applied;
    if (logged.offset < state.nextOffset) {
        applied.isDuplicate = true;
        return applied;
    }
    state.nextOffset = logged.offset + 1;
    state.now = std::max(state.now, logged.time);
    forgetOld(state);
    if (!rememberRecord(state, logged.record.header.id)) {
        applied.isDuplicate = true;
        return applied;
    }
    Replay replay{state, applied, {logged.offset, 0}};
    for (const RunEntry &entry : logged.record.entries) {
        if (Reason reason = std::visit(replay, entry); !reason.empty()) {
            replay.refuse(runOf(entry), std::move(reason));
        }
        ++replay.token.index;
    }
    return applied;
}

}  // namespace poplarstream
