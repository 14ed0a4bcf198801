#include "poplarstream/engine/incarnations.hpp"

#include <algorithm>  // for max

#include <fmt/format.h>  // for format

#include "poplarstream/engine/attempts.hpp"  // for attach, releaseAll, noteListedClock, adoptedRuns
#include "poplarstream/engine/crashes.hpp"  // for recordCrash

namespace poplarstream::engine {

namespace {

// A report with a clock that is ahead by this much was written after the worker had been taken for
// ended: its clock is extrapolated from its last reading for two report intervals at most.
constexpr std::int64_t clockUncertaintyMs = 250;

std::string_view evidenceText(EndEvidence evidence)
{
    switch (evidence) {
    case EndEvidence::RejectedCommand:
        return "rejected-command";
    case EndEvidence::Registry:
        return "registry";
    case EndEvidence::PollResponse:
        return "poll-response";
    case EndEvidence::MachineAbsent:
        return "machine-absent";
    case EndEvidence::MachineCommand:
        break;
    }
    return "machine-command";
}

// Ends an incarnation in the engine, and counts an unplanned end for the tasks that ran on it.
void markEnded(Engine &engine, Worker &worker, EndEvidence evidence, TimePoint now)
{
    const bool isPlanned = isPlannedEnd(worker, evidence);
    worker.endedClockMs = worker.clockMs == 0 ? 0 : clockNow(worker, now);
    worker.isGone = true;
    worker.isListed = false;
    recordDecision(engine, DecisionKind::WorkerEnded, {}, worker.entry.incarnation.id,
                   fmt::format("tasks={} evidence={} planned={} answered_ms_ago={} adopted={}",
                               worker.attempts.size(), evidenceText(evidence), isPlanned,
                               ageMs(worker.answeredAt, now), adoptedRuns(engine, worker)));
    if (!isPlanned) {
        recordCrash(engine, worker, now);
    }
    worker.lapsedRuns.clear();
}

// Moves the attempts whose start was sent from an incarnation to the next one under its id, which
// may have carried the command out. Its first poll settles them.
void moveAttempts(Engine &engine, const Worker &previous, Worker &next, TimePoint now)
{
    const WorkerIncarnation from = previous.entry.incarnation;
    const auto attempts = previous.attempts;
    for (const auto &[ref, decisivePoll] : attempts) {
        jobs::Attempt *const attempt = findAttempt(engine, ref);
        if (attempt == nullptr || !attempt->mayRun) {
            continue;
        }
        jobs::Job &job = engine.jobs.at(ref.task.job);
        detach(engine, ref, from, now);
        attempt->worker = next.entry.incarnation;
        attempt->confirmedAt = {};
        attempt->brokenOffAt = {};
        attach(engine, next, job, ref, next.pollNumber + 1);
        markDirty(engine, job);
    }
    next.leaseUntil = std::max(
            {next.leaseUntil, previous.leaseUntil, lapseAfter(engine.limits.longestLease, now)});
    invalidateSentCommands(engine, next);
}

// Whether an entry with an earlier start may replace this incarnation. A worker that restarts after
// its clock was set back has one. The replaced incarnation has no tasks left that could be doubled,
// and if it lives, its own next entry replaces the other one again.
bool isReplaceable(Engine &engine, const WorkerIncarnation &incarnation)
{
    const Worker *const worker = findWorker(engine, incarnation);
    return worker != nullptr && worker->reachability == Reachability::Unreachable
           && worker->attempts.empty() && worker->unexpectedAttempts.empty();
}

}  // namespace

void registerWorker(Engine &engine, const WorkerEntry &entry, TimePoint now)
{
    const WorkerId &id = entry.incarnation.id;
    const auto known = engine.newestIncarnations.find(id);
    if (known != engine.newestIncarnations.end()
        && known->second.startedUnixMs > entry.incarnation.startedUnixMs
        && !isReplaceable(engine, known->second)) {
        return;  // an outdated entry of a previous incarnation
    }
    if (known != engine.newestIncarnations.end() && known->second != entry.incarnation) {
        const WorkerIncarnation previous = known->second;
        restartWorker(engine, previous, entry.incarnation, EndEvidence::Registry, now);
    }
    engine.newestIncarnations[id] = entry.incarnation;
    const auto [place, isNew] = engine.workers.try_emplace(entry.incarnation);
    Worker &worker = place->second;
    if (isNew) {
        worker.knownSince = now;
        worker.idleSince = now;
        // Commands for an earlier incarnation of the id must not be taken for this one's.
        worker.tokenBump = ++engine.token.lastBump;
    }
    if (worker.isGone && entry.clockMs > worker.endedClockMs + clockUncertaintyMs) {
        worker.isGone = false;
        worker.reachability = Reachability::Unconfirmed;
        worker.tokenBump = ++engine.token.lastBump;
    }
    noteListedClock(worker, entry.clockMs, now);
    const bool changed = !worker.isListed || worker.entry.isDraining != entry.isDraining
                         || worker.entry.service != entry.service
                         || worker.entry.capacity != entry.capacity;
    worker.entry = entry;
    if (!worker.answeredAddress.empty()) {
        worker.entry.address = worker.answeredAddress;
    }
    worker.isListed = true;
    worker.registeredAt = now;
    engine.needsPlan = engine.needsPlan || changed;
}

void deregisterWorker(Engine &engine, const WorkerId &id)
{
    const auto known = engine.newestIncarnations.find(id);
    if (known == engine.newestIncarnations.end()) {
        return;
    }
    if (Worker *const worker = findWorker(engine, known->second)) {
        worker->isListed = false;
    }
}

bool isPlannedEnd(const Worker &worker, EndEvidence evidence)
{
    return evidence == EndEvidence::MachineCommand || worker.entry.isDraining || worker.isCordoned;
}

void endIncarnation(Engine &engine, const WorkerIncarnation &incarnation, EndEvidence evidence,
                    TimePoint now)
{
    Worker *const worker = findWorker(engine, incarnation);
    if (worker == nullptr || worker->isGone) {
        return;
    }
    markEnded(engine, *worker, evidence, now);
    releaseAll(engine, incarnation, now, ReleaseCause::WorkerEnded);
}

void restartWorker(Engine &engine, const WorkerIncarnation &from, const WorkerIncarnation &to,
                   EndEvidence evidence, TimePoint now)
{
    Worker *const previous = findWorker(engine, from);
    if (previous == nullptr || previous->isGone) {
        return;
    }
    markEnded(engine, *previous, evidence, now);
    const auto [place, isNew] = engine.workers.try_emplace(to);
    Worker &next = place->second;
    if (isNew) {
        next.entry = previous->entry;
        next.entry.incarnation = to;
        next.knownSince = now;
        next.idleSince = now;
    } else if (next.isGone) {
        // An entry of another writer made it count as ended; it has shown itself that it lives.
        next.isGone = false;
        next.isPolling = false;
        next.reachability = Reachability::Unconfirmed;
    }
    engine.newestIncarnations[to.id] = to;
    moveAttempts(engine, *previous, next, now);
    releaseAll(engine, from, now, ReleaseCause::WorkerEnded);
}

}  // namespace poplarstream::engine
