#include "poplarstream/engine/batches.hpp"

#include <algorithm>  // for max
#include <set>  // for set
#include <tuple>  // for make_tuple

#include "poplarstream/engine/account_caps.hpp"  // for isWithinCap
#include "poplarstream/engine/attempts.hpp"  // for findAttempt, release, stopJob, stepOf
#include "poplarstream/jobs/commands.hpp"  // for failJob
#include "poplarstream/jobs/progress_records.hpp"  // for takeChangedRecords
#include "poplarstream/jobs/queries.hpp"  // for findTask, isFinal

namespace poplarstream::engine {

namespace {

// A batch takes further jobs until it has this size, so that the starts in it are not delayed by
// many others.
constexpr std::size_t maxBatchBytes = 1'000'000;

void collectStarts(const jobs::Job &job, std::vector<AttemptRef> &starts)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
                for (const jobs::Attempt &attempt : occurrence.steps[step][index].attempts) {
                    if (attempt.phase == jobs::AttemptPhase::Planned) {
                        starts.push_back({{job.submission.id, number, static_cast<int>(step),
                                           static_cast<int>(index)},
                                          attempt.run});
                    }
                }
            }
        }
    }
}

bool maySend(const Engine &engine, const jobs::Job &job, const Worker *worker)
{
    return engine.mayStart && !jobs::isFinal(job.state) && worker != nullptr && worker->isListed
           && !worker->isGone && worker->reachability == Reachability::Reachable
           && !worker->entry.isDraining && !worker->isCordoned;
}

// Whether the attempts on the worker no longer fit because its capacity has shrunk since they were
// planned. Workers may start whatever they are told to.
bool isOverCapacity(const Worker &worker)
{
    return !worker.used.fits(worker.entry.capacity);
}

// Whether a planned start must be given up.
bool mustHold(Engine &engine, const AttemptRef &ref)
{
    const jobs::Attempt *const attempt = findAttempt(engine, ref);
    if (attempt == nullptr || attempt->phase != jobs::AttemptPhase::Planned) {
        return false;
    }
    const Worker *const worker = findWorker(engine, attempt->worker);
    const jobs::Job &job = engine.jobs.at(ref.task.job);
    return !maySend(engine, job, worker) || isOverCapacity(*worker)
           || !isWithinCap(engine, job, stepOf(job, ref.task));
}

// Releases the planned members of each gang of which one must not start: the others would wait for
// it in vain.
void releaseBrokenGangs(Engine &engine, const std::vector<AttemptRef> &starts, TimePoint now)
{
    const auto gangOf = [](const AttemptRef &ref) {
        return std::make_tuple(ref.task.job, ref.task.occurrence, ref.task.step, ref.run);
    };
    std::vector<AttemptRef> members;
    std::set<std::tuple<JobId, int, int, int>> broken;
    for (const AttemptRef &ref : starts) {
        const jobs::Job *const job = findJob(engine, ref.task.job);
        if (job != nullptr && stepOf(*job, ref.task).gang) {
            members.push_back(ref);
            if (mustHold(engine, ref)) {
                broken.insert(gangOf(ref));
            }
        }
    }
    for (const AttemptRef &ref : members) {
        const jobs::Attempt *const attempt = findAttempt(engine, ref);
        if (broken.contains(gangOf(ref)) && attempt != nullptr
            && attempt->phase == jobs::AttemptPhase::Planned) {
            release(engine, ref, attempt->worker, now, ReleaseCause::NotSent);
        }
    }
}

void sendStart(Engine &engine, const AttemptRef &ref, TimePoint now)
{
    jobs::Attempt *const attempt = findAttempt(engine, ref);
    if (attempt == nullptr || attempt->phase != jobs::AttemptPhase::Planned) {
        return;
    }
    jobs::Job &job = engine.jobs.at(ref.task.job);
    Worker *const worker = findWorker(engine, attempt->worker);
    if (mustHold(engine, ref)) {
        release(engine, ref, attempt->worker, now, ReleaseCause::NotSent);
        return;
    }
    // The worker may respond to a poll in flight before this command arrives.
    worker->attempts[ref] = noDecisivePoll;
    attempt->phase = jobs::AttemptPhase::StartSent;
    attempt->mayRun = true;
    attempt->startedAt = now;
    const Milliseconds lease = engine.limits.lease;
    worker->leaseUntil = std::max(worker->leaseUntil, lapseAfter(engine, now));
    StartCommand command;
    command.target = targetOf(engine, *worker);
    command.task = ref.task;
    command.run = ref.run;
    command.payload = job.submission.spec.payload;
    command.checkpoint = jobs::findTask(job, ref.task)->checkpoint;
    command.ticket = attempt->ticket;
    command.leaseUntilClockMs = clockNow(*worker, now) + lease.count();
    engine.commands.emplace_back(std::move(command));
}

}  // namespace

Batch collectBatch(Engine &engine)
{
    Batch batch;
    std::size_t bytes = 0;
    while (!engine.dirty.empty() && bytes < maxBatchBytes) {
        jobs::Job &job = engine.dirty.back();
        engine.dirty.erase(job);
        job.isDirty = false;
        collectStarts(job, batch.starts);
        for (ProgressRecord &record : jobs::takeChangedRecords(job, engine.limits.maxRecordBytes)) {
            bytes += record.key.size() + (record.value ? record.value->size() : 0);
            batch.records.push_back(std::move(record));
        }
        batch.states.emplace_back(job.submission.id, job.state);
    }
    if (engine.dirty.empty()) {
        // The effects of all completions so far are in this batch or already stored.
        for (const auto &[incarnation, worker] : engine.workers) {
            if (worker.completionsSeen > worker.completionsStored) {
                batch.completions.emplace_back(incarnation, worker.completionsSeen);
            }
        }
        batch.collection = engine.pendingRecords.empty() ? 0 : ++engine.collections;
        for (ProgressRecord &record : engine.pendingRecords) {
            batch.records.push_back(std::move(record));
        }
        engine.pendingRecords.clear();
    }
    return batch;
}

void dropRefused(Engine &engine, Batch &batch, std::span<const std::string> keys, TimePoint now)
{
    for (const std::string &key : keys) {
        const JobId id{std::string(jobs::jobOfRecord(key))};
        std::erase_if(batch.states, [&id](const auto &entry) { return entry.first == id; });
        jobs::Job *const job = findJob(engine, id);
        if (job == nullptr) {
            engine.refusedRecords.insert(key);
            continue;
        }
        if (!jobs::failJob(*job, now)) {
            continue;
        }
        recordDecision(engine, DecisionKind::JobEnded, {{id, 0, 0, 0}, 0}, {},
                       "state=failed cause=not-storable");
        markDirty(engine, *job);
        stopJob(engine, id, now);
    }
}

void applyStored(Engine &engine, const Batch &batch, TimePoint now)
{
    engine.collectionsStored = std::max(engine.collectionsStored, batch.collection);
    for (const auto &[id, state] : batch.states) {
        if (jobs::Job *const job = findJob(engine, id)) {
            job->durableState = state;
        }
    }
    for (const auto &[incarnation, number] : batch.completions) {
        if (Worker *const worker = findWorker(engine, incarnation)) {
            worker->completionsStored = std::max(worker->completionsStored, number);
            worker->nextPollAt = now;
        }
    }
    releaseBrokenGangs(engine, batch.starts, now);
    for (const AttemptRef &ref : batch.starts) {
        sendStart(engine, ref, now);
    }
}

}  // namespace poplarstream::engine
