#pragma once

#include <algorithm>  // for find_if, erase_if
#include <set>  // for set
#include <vector>  // for vector

#include "poplarstream/runs/run.hpp"  // for Run, Claim
#include "poplarstream/runs/runs_state.hpp"  // for resultRetention

namespace poplarstream::test {

// Reference implementation of the run stream rules, without indexes, transition table or memory
// bounds, for the differential test of replay.
class ReferenceReplay
{
public:
    // Applies the next record of the stream.
    void apply(const Logged<RunRecord> &logged)
    {
        now = std::max(now, logged.time);
        std::erase_if(runs, [&](const Run &run) {
            return isSettled(run) && run.endedAt + resultRetention <= now;
        });
        if (!seen_.insert(logged.record.header.id).second) {
            return;
        }
        token_ = {logged.offset, 0};
        for (const RunEntry &entry : logged.record.entries) {
            std::visit(*this, entry);
            ++token_.index;
        }
    }

    std::vector<Run> runs;
    TimePoint now;

    void operator()(const RunAccepted &e)
    {
        const bool isKnownKey = !e.idempotencyKey.empty()
                                && std::any_of(runs.begin(), runs.end(), [&](const Run &run) {
                                       return run.accepted.tenant == e.tenant
                                              && run.accepted.idempotencyKey == e.idempotencyKey;
                                   });
        if (!find(e.run) && !isKnownKey) {
            addRun(e);
        }
    }
    void operator()(const RunReceived &e)
    {
        const bool isNew = arrivals_.insert({e.accepted.run, e.from, e.handedOverAt}).second;
        if (isNew && !find(e.accepted.run)) {
            addRun(e.accepted);
        }
    }
    void operator()(const RunClaimed &e)
    {
        Run *run = find(e.run);
        if (!run || run->stage != RunStage::Accepted || !hasValidLease(e.owner)
            || run->failedOn.size() >= 3 || run->losses >= 6) {
            return;
        }
        double cpus = e.reserved.cpus;
        std::uint64_t memory = e.reserved.memoryMegabytes;
        for (const Run &other : runs) {
            if (other.claim && other.claim->worker == e.worker) {
                cpus += other.claim->reserved.cpus;
                memory += other.claim->reserved.memoryMegabytes;
            }
        }
        if (e.workerCapacity != Resources{}
            && (cpus > e.workerCapacity.cpus || memory > e.workerCapacity.memoryMegabytes)) {
            return;
        }
        run->claim = Claim{token_, e.owner, e.worker, e.workerBoot, e.reserved, now, std::nullopt};
        run->stage = RunStage::Claimed;
    }
    void operator()(const RunTakenOver &e)
    {
        Run *run = findClaimed(e.run, e.token);
        if (run && !hasValidLease(run->claim->owner) && hasValidLease(e.owner)) {
            run->claim->owner = e.owner;
        }
    }
    void operator()(const RunStarted &e)
    {
        Run *run = findClaimed(e.run, e.token);
        if (run && !run->claim->startedAt) {
            run->claim->startedAt = now;
            run->mayHaveStarted = true;
            run->stage =
                    run->stage == RunStage::Cancelling ? RunStage::Cancelling : RunStage::Started;
        }
    }
    void operator()(const RunFinished &e)
    {
        Run *run = find(e.run);
        if (!run
            || !(findClaimed(e.run, e.token)
                 || (run->stage == RunStage::Cancelling
                     && findLostAttempt(*run, e.token) != run->lostAttempts.end()))) {
            return;
        }
        run->mayHaveStarted = true;
        run->result = e.result;
        endRun(*run, e.outcome == RunOutcome::Succeeded ? RunStage::Finished
                     : e.outcome == RunOutcome::Failed  ? RunStage::Failed
                                                        : RunStage::MayHaveRun);
    }
    void operator()(const RunReleased &e)
    {
        Run *run = find(e.run);
        if (!run || !mayRelease(*run, e)) {
            return;
        }
        if (const auto attempt = findLostAttempt(*run, e.token);
            attempt != run->lostAttempts.end()) {
            run->lostAttempts.erase(attempt);
        } else {
            const Claim claim = *run->claim;
            run->claim.reset();
            run->mayHaveStarted |= e.cause != ReleaseCause::NeverStarted;
            if (e.cause == ReleaseCause::Lost) {
                run->lostAttempts.push_back({claim.token, claim.worker, claim.workerBoot});
                ++run->losses;
            }
            if (e.workerFault) {
                run->failedOn.push_back(claim.worker);
            }
            run->checkpoint = e.checkpoint.empty() ? run->checkpoint : e.checkpoint;
            if (run->stage != RunStage::Cancelling) {
                run->stage = RunStage::Accepted;
                run->waitingSince = now;
            }
        }
        if (run->stage == RunStage::Cancelling && !run->claim && run->lostAttempts.empty()) {
            endRun(*run, RunStage::Cancelled);
        }
    }
    void operator()(const RunsCancelled &e)
    {
        for (const RunId &id : e.runs) {
            Run *run = find(id);
            if (!run || isFinal(run->stage)) {
                continue;
            }
            if (run->claim || !run->lostAttempts.empty()) {
                run->stage = RunStage::Cancelling;
            } else {
                endRun(*run, RunStage::Cancelled);
            }
        }
    }
    void operator()(const RunDeadLettered &e)
    {
        if (Run *run = find(e.run); run && run->stage == RunStage::Accepted) {
            endRun(*run, RunStage::DeadLettered);
        }
    }
    void operator()(const RunHandedOver &e)
    {
        Run *run = find(e.run);
        if (run && run->stage == RunStage::Accepted && !run->mayHaveStarted) {
            run->stage = RunStage::HandedOver;
            run->handedTo = e.to;
            run->handedOverAt = token_.offset;
        }
    }
    void operator()(const HandOverConfirmed &e)
    {
        Run *run = find(e.run);
        if (run && run->stage == RunStage::HandedOver && !run->isArrivalConfirmed) {
            run->isArrivalConfirmed = true;
            endRun(*run, RunStage::HandedOver);
        }
    }
    void operator()(const OwnerLease &e) { leases_[e.owner] = now + e.duration; }
    void operator()(const SnapshotPart &) {}

private:
    static bool isSettled(const Run &run)
    {
        return isFinal(run.stage) && (run.stage != RunStage::HandedOver || run.isArrivalConfirmed);
    }
    Run *find(const RunId &id)
    {
        const auto found = std::find_if(runs.begin(), runs.end(),
                                        [&](const Run &run) { return run.id() == id; });
        return found == runs.end() ? nullptr : &*found;
    }
    Run *findClaimed(const RunId &id, const FencingToken &token)
    {
        Run *run = find(id);
        return run && run->claim && run->claim->token == token ? run : nullptr;
    }
    static std::vector<LostAttempt>::iterator findLostAttempt(Run &run, const FencingToken &token)
    {
        return std::find_if(run.lostAttempts.begin(), run.lostAttempts.end(),
                            [&](const LostAttempt &attempt) { return attempt.token == token; });
    }
    bool hasValidLease(const EntryHostId &owner) { return leases_[owner] > now; }
    void addRun(const RunAccepted &accepted)
    {
        Run run;
        run.accepted = accepted;
        run.acceptedAt = run.waitingSince = now;
        runs.push_back(run);
    }
    void endRun(Run &run, RunStage stage)
    {
        run.stage = stage;
        run.endedAt = now;
        run.claim.reset();
        run.lostAttempts.clear();
        run.accepted.payload.clear();
        run.checkpoint.clear();
    }
    bool mayRelease(Run &run, const RunReleased &e)
    {
        const bool isHeld = run.claim && run.claim->token == e.token;
        const bool isLost = findLostAttempt(run, e.token) != run.lostAttempts.end();
        const bool isCancelling = run.stage == RunStage::Cancelling;
        const bool isIdempotent = run.accepted.idempotent;
        switch (e.cause) {
        case ReleaseCause::NeverStarted:
            return isLost || (isHeld && !run.claim->startedAt);
        case ReleaseCause::Checkpointed:
            return isLost || isHeld;
        case ReleaseCause::Lost:
            return isHeld && !isCancelling && isIdempotent;
        default:
            return (isLost || isHeld) && (isCancelling || isIdempotent);
        }
    }

    FencingToken token_;
    std::set<RecordId> seen_;
    std::set<std::tuple<RunId, ZoneId, Offset>> arrivals_;
    std::map<EntryHostId, TimePoint> leases_;
};

}  // namespace poplarstream::test
