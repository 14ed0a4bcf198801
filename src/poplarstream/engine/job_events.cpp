#include "poplarstream/engine/job_events.hpp"

#include <algorithm>  // for max

#include "poplarstream/engine/account_shares.hpp"  // for countArrival, configureShares
#include "poplarstream/engine/attempts.hpp"  // for attach, stopJob, markDirty, capacityUsedBy
#include "poplarstream/engine/crashes.hpp"  // for isSuspect
#include "poplarstream/engine/ranking.hpp"  // for serviceOf
#include "poplarstream/jobs/commands.hpp"  // for makeJob, cancelJob
#include "poplarstream/jobs/queries.hpp"  // for endsByItself, isFinal

namespace poplarstream::engine {

namespace {

// Bounds the memory for cancellations of jobs whose submission never arrives.
constexpr std::size_t maxEarlyCancellations = 10'000;

// Bounds the memory for arrivals if no machines are managed and no forecast consumes them.
constexpr std::size_t maxArrivals = 10'000;

void recordArrival(Engine &engine, const jobs::Job &job)
{
    const jobs::JobSpec &spec = job.submission.spec;
    if (!jobs::endsByItself(spec) || engine.arrivals.size() >= maxArrivals) {
        return;
    }
    // It waits until runs of its account end, so that it does not need more workers than they.
    if (engine.capHolds.contains(job.submission.account)) {
        return;
    }
    Arrival arrival{serviceOf(engine, job), job.acceptedAt, 0, 0, job.criticalPath};
    for (const jobs::StepSpec &step : spec.steps) {
        const auto time = static_cast<double>(step.count * step.estimate.count());
        const jobs::Resources used = capacityUsedBy(step);
        arrival.cpuMilliMs += time * static_cast<double>(used.cpuMilli);
        arrival.memoryMbMs += time * static_cast<double>(used.memoryMb);
    }
    engine.arrivals.push_back(std::move(arrival));
}

bool hasAttempts(const jobs::Job &job)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const auto &tasks : occurrence.steps) {
            for (const jobs::Task &task : tasks) {
                if (!task.attempts.empty()) {
                    return true;
                }
            }
        }
    }
    return false;
}

// Removes the jobs whose callers no longer ask for them. They settled about in the order in which
// they ended, so one that must stay holds up only those that ended shortly before it.
void forgetOldJobs(Engine &engine, TimePoint now)
{
    while (!engine.settled.empty()) {
        const JobId id = engine.settled.front();
        jobs::Job &job = engine.jobs.at(id);
        if (engine.dirty.contains(job) || job.endedAt + engine.limits.statusRetention * 2 >= now) {
            return;
        }
        engine.settled.pop_front();
        engine.waiting.erase(job);
        engine.jobs.erase(id);
        engine.forgotten.push_back(id);
        engine.beingDeleted.insert(id);
    }
}

void adoptAttempts(Engine &engine, const jobs::Job &job, TimePoint lapsedAt, TimePoint now)
{
    const JobId &id = job.submission.id;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
                if (isSuspect(occurrence.steps[step][index])) {
                    engine.suspects.insert(
                            {id, number, static_cast<int>(step), static_cast<int>(index)});
                }
                for (const jobs::Attempt &attempt : occurrence.steps[step][index].attempts) {
                    const auto [place, isNew] = engine.workers.try_emplace(attempt.worker);
                    Worker &worker = place->second;
                    ++engine.runsAdopted;
                    if (isNew) {
                        ++engine.workersAdopted;
                        worker.entry.incarnation = attempt.worker;
                        worker.knownSince = now;
                        worker.tokenBump = engine.token.lastBump;
                        WorkerIncarnation &newest = engine.newestIncarnations[attempt.worker.id];
                        newest = std::max(newest, attempt.worker);
                    }
                    if (worker.machine.isEmpty()) {
                        worker.machine = attempt.machine;
                    }
                    worker.leaseUntil = std::max(worker.leaseUntil, lapsedAt);
                    const TaskRef task{id, number, static_cast<int>(step), static_cast<int>(index)};
                    // This owner's first poll of the worker is decisive.
                    attach(engine, worker, job, {task, attempt.run}, 1);
                }
            }
        }
    }
}

bool mayCancel(const Engine &engine, const jobs::Job &job, const Canceller &caller)
{
    const AccountId &account = job.submission.account;
    if (account.isEmpty() || account == caller.account) {
        return true;
    }
    const QueueId &queue = job.submission.policy.queue;
    const auto found = engine.queues.find(queue);
    return caller.account.isEmpty() && caller.queue == queue && found != engine.queues.end()
           && found->second.isPublic;
}

// Applies the cancellations of a job that were read before its submission.
void applyEarlyCancellations(Engine &engine, const JobId &id, TimePoint now)
{
    auto place = engine.cancelledEarly.lower_bound({id, {}});
    while (place != engine.cancelledEarly.end() && place->first == id) {
        cancelJob(engine, id, now, place->second);
        place = engine.cancelledEarly.erase(place);
    }
}

}  // namespace

void submitJob(Engine &engine, jobs::Submission submission, const ClockReading &now)
{
    const JobId id = submission.id;
    if (engine.jobs.contains(id) || engine.beingDeleted.contains(id)) {
        return;
    }
    jobs::Job &job = engine.jobs[id];
    job = jobs::makeJob(std::move(submission), now.steady, now.unixMs);
    engine.active.insert(job);
    engine.waiting.insert(job);
    engine.needsPlan = true;
    recordArrival(engine, job);
    countArrival(engine, job);
    applyEarlyCancellations(engine, id, now.steady);
}

void adoptSettledJob(Engine &engine, const JobId &id, const jobs::SubmissionOrigin &origin,
                     jobs::JobState state, TimePoint now)
{
    const auto [place, isNew] = engine.jobs.try_emplace(id);
    if (!isNew) {
        return;
    }
    jobs::Job &job = place->second;
    job.submission.id = id;
    job.submission.policy.queue = origin.queue;
    job.submission.account = origin.account;
    job.state = state;
    job.durableState = state;
    job.acceptedAt = now;
    job.endedAt = now;
    engine.settled.push_back(id);
}

void cancelJob(Engine &engine, const JobId &id, TimePoint now,
               const std::optional<Canceller> &caller)
{
    jobs::Job *const job = findJob(engine, id);
    if (job == nullptr) {
        if (!engine.beingDeleted.contains(id)
            && engine.cancelledEarly.size() < maxEarlyCancellations) {
            engine.cancelledEarly.emplace(id, caller);
        }
        return;
    }
    if ((!caller || mayCancel(engine, *job, *caller)) && jobs::cancelJob(*job, now)) {
        // The cancellation itself is already stored.
        job->durableState = job->state;
        markDirty(engine, *job);
        stopJob(engine, id, now);
    }
}

void confirmDeletion(Engine &engine, const JobId &id)
{
    engine.beingDeleted.erase(id);
}

Result<bool> adoptProgress(Engine &engine, const JobId &id, std::string_view head,
                           TimePoint lapsedAt, TimePoint now, std::span<const ProgressRecord> parts)
{
    jobs::Job *const job = findJob(engine, id);
    if (job == nullptr) {
        return Failure{"progress of an unknown job", id.text()};
    }
    Result<bool> applied = jobs::applyProgressRecords(*job, head, parts);
    if (!applied) {
        holdJob(engine, id, parts);
        return applied;
    }
    job->endedAt = now;
    if (job->isDirty) {
        markDirty(engine, *job);
    }
    adoptAttempts(engine, *job, lapsedAt, now);
    return applied;
}

void holdJob(Engine &engine, const JobId &id, std::span<const ProgressRecord> parts)
{
    jobs::Job *const job = findJob(engine, id);
    if (job == nullptr) {
        return;
    }
    engine.jobsHeld += job->isHeld ? 0 : 1;
    job->isHeld = true;
    for (const ProgressRecord &part : parts) {
        job->storedParts[part.key] = 0;
    }
}

void tickJobs(Engine &engine, const ClockReading &now)
{
    std::vector<jobs::Job *> settled;
    for (jobs::Job *const job : engine.active) {
        if (!jobs::isFinal(job->state)) {
            if (jobs::openDueOccurrences(*job, now.steady, now.unixMs)) {
                engine.waiting.insert(*job);
                engine.needsPlan = true;
            }
        } else if (!hasAttempts(*job)) {
            settled.push_back(job);
        }
    }
    for (jobs::Job *const job : settled) {
        engine.active.erase(*job);
        engine.settled.push_back(job->submission.id);
    }
    forgetOldJobs(engine, now.steady);
}

void configureAccounts(Engine &engine, accounts::ClientAccounts accounts,
                       std::map<AccountId, jobs::Resources> limits, double jobShare)
{
    engine.accounts = std::move(accounts);
    engine.accountLimits = std::move(limits);
    engine.jobShare = jobShare;
    configureShares(engine);
    engine.needsPlan = true;
}

void configure(Engine &engine, std::map<QueueId, Queue> queues,
               std::map<ServiceId, Service> services)
{
    engine.queues = std::move(queues);
    engine.services = std::move(services);
    engine.needsPlan = true;
}

}  // namespace poplarstream::engine
