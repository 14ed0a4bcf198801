#include "run_index.hpp"

#include <algorithm>  // for min_element, find_if
#include <cmath>  // for llround

#include "poplarstream/base/rendezvous.hpp"  // for stableHash
#include "poplarstream/runs/queries.hpp"  // for findRun, idHash, keyHash

namespace poplarstream {
namespace {

bool isActive(RunStage stage)
{
    return stage == RunStage::Claimed || stage == RunStage::Started
           || stage == RunStage::Cancelling;
}

void addToStageIndex(RunsState &state, Run &run)
{
    if (run.stage == RunStage::Accepted) {
        std::set<std::uint64_t> &queue = state.waiting[run.accepted.tenant];
        queue.insert(queue.end(), run.ordinal);
    } else if (isActive(run.stage)) {
        state.active.insert(run.ordinal);
    } else if (run.stage == RunStage::HandedOver && !run.isArrivalConfirmed) {
        state.pendingHandOvers.insert(run.ordinal);
    }
}

void removeFromStageIndex(RunsState &state, const Run &run)
{
    if (run.stage == RunStage::Accepted) {
        const auto queue = state.waiting.find(run.accepted.tenant);
        queue->second.erase(run.ordinal);
        if (queue->second.empty()) {
            state.waiting.erase(queue);
        }
    } else if (isActive(run.stage)) {
        state.active.erase(run.ordinal);
    }
}

void reserve(RunsState &state, const Claim &claim, int sign)
{
    Reservation &reservation = state.reserved[claim.worker];
    reservation.milliCpus += sign * std::llround(claim.reserved.cpus * 1000);
    reservation.memoryMegabytes += sign * static_cast<std::int64_t>(claim.reserved.memoryMegabytes);
    reservation.accelerators += sign * static_cast<std::int64_t>(claim.reserved.accelerators);
    reservation.runs += static_cast<std::uint32_t>(sign);
    if (reservation.runs == 0) {
        state.reserved.erase(claim.worker);
    }
}

void clearContent(Run &run)
{
    run.accepted.payload = std::string();
    run.checkpoint = std::string();
    run.lostAttempts = {};
}

void addEntry(HashIndex &index, std::uint64_t hash, std::uint64_t ordinal)
{
    if (!index.entries.emplace(hash, ordinal).second) {
        index.collisions.emplace(hash, ordinal);
    }
}

void eraseEntry(HashIndex &index, std::uint64_t hash, std::uint64_t ordinal)
{
    const auto entry = index.entries.find(hash);
    const auto [begin, end] = index.collisions.equal_range(hash);
    if (entry->second == ordinal && begin == end) {
        index.entries.erase(entry);
    } else if (entry->second == ordinal) {
        entry->second = begin->second;
        index.collisions.erase(begin);
    } else {
        index.collisions.erase(std::find_if(
                begin, end, [&](const auto &other) { return other.second == ordinal; }));
    }
}

void eraseRun(RunsState &state, std::uint64_t ordinal)
{
    const auto found = state.runs.find(ordinal);
    const RunAccepted &accepted = found->second.accepted;
    eraseEntry(state.byId, idHash(accepted.run), ordinal);
    if (!accepted.idempotencyKey.empty()) {
        eraseEntry(state.byKey, keyHash(accepted.tenant, accepted.idempotencyKey), ordinal);
    }
    state.runs.erase(found);
}

}  // namespace

Run *findMutableRun(RunsState &state, const RunId &run)
{
    return const_cast<Run *>(findRun(state, run));
}

Run &insertRun(RunsState &state, Run run)
{
    const std::uint64_t ordinal = run.ordinal;
    Run &inserted = state.runs.emplace_hint(state.runs.end(), ordinal, std::move(run))->second;
    indexRun(state, inserted);
    return inserted;
}

void indexRun(RunsState &state, Run &run)
{
    const RunAccepted &accepted = run.accepted;
    addEntry(state.byId, idHash(accepted.run), run.ordinal);
    if (!accepted.idempotencyKey.empty()) {
        addEntry(state.byKey, keyHash(accepted.tenant, accepted.idempotencyKey), run.ordinal);
    }
    addToStageIndex(state, run);
    if (run.claim) {
        reserve(state, *run.claim, 1);
    }
}

void setStage(RunsState &state, Run &run, RunStage stage)
{
    if (run.stage == stage) {
        return;
    }
    removeFromStageIndex(state, run);
    run.stage = stage;
    addToStageIndex(state, run);
    if (stage == RunStage::Accepted) {
        run.waitingSince = state.now;
    } else if (isFinal(stage)) {
        setClaim(state, run, std::nullopt);
        if (state.pendingHandOvers.contains(run.ordinal)) {
            return;
        }
        run.endedAt = state.now;
        clearContent(run);
        state.ended.push_back(run.ordinal);
    }
}

void setClaim(RunsState &state, Run &run, std::optional<Claim> claim)
{
    if (run.claim) {
        reserve(state, *run.claim, -1);
    }
    run.claim = std::move(claim);
    if (run.claim) {
        reserve(state, *run.claim, 1);
    }
}

void confirmHandOver(RunsState &state, Run &run)
{
    state.pendingHandOvers.erase(run.ordinal);
    run.isArrivalConfirmed = true;
    run.endedAt = state.now;
    clearContent(run);
    state.ended.push_back(run.ordinal);
}

void evictExpired(RunsState &state)
{
    while (!state.ended.empty()) {
        const std::uint64_t oldest = state.ended.front();
        if (state.ended.size() <= maxEndedRuns
            && state.runs.find(oldest)->second.endedAt + resultRetention > state.now) {
            break;
        }
        eraseRun(state, oldest);
        state.ended.pop_front();
    }
    while (!state.arrivals.empty() && state.arrivals.front().first + arrivalRetention < state.now) {
        state.arrivalSet.erase(state.arrivals.front().second);
        state.arrivals.pop_front();
    }
}

bool markRecordSeen(RunsState &state, const RecordId &record)
{
    const std::uint64_t hash = stableHash(record.text());
    if (!state.recentRecordHashSet.insert(hash).second) {
        return false;
    }
    state.recentRecordHashes.push_back(hash);
    if (state.recentRecordHashes.size() > maxRecentRecords) {
        state.recentRecordHashSet.erase(state.recentRecordHashes.front());
        state.recentRecordHashes.pop_front();
    }
    return true;
}

bool markArrivalSeen(RunsState &state, std::uint64_t arrival)
{
    if (!state.arrivalSet.insert(arrival).second) {
        return false;
    }
    state.arrivals.emplace_back(state.now, arrival);
    return true;
}

void recordOutcome(RunsState &state, const Run &run, const HostId &worker, bool isFault)
{
    WorkerHistory &history = state.workers[worker];
    history.outcomes.push_back({state.now, stableHash(run.accepted.tenant.text()),
                                stableHash(run.id().text()), isFault});
    if (history.outcomes.size() > maxOutcomesPerWorker) {
        history.outcomes.pop_front();
    }
    history.consecutiveFaults = isFault ? history.consecutiveFaults + 1 : 0;
    history.lastOutcome = state.now;
    if (state.workers.size() > maxWorkerHistories) {
        state.workers.erase(std::min_element(state.workers.begin(), state.workers.end(),
                                             [](const auto &a, const auto &b) {
                                                 return a.second.lastOutcome < b.second.lastOutcome;
                                             }));
    }
}

}  // namespace poplarstream
