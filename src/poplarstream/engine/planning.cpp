#include "poplarstream/engine/planning.hpp"

#include <algorithm>  // for max

#include <fmt/format.h>  // for format

#include "poplarstream/engine/attempts.hpp"  // for attach, markDirty, capacityUsedBy
#include "poplarstream/engine/placement.hpp"  // for Site, chooseSite, openSites
#include "poplarstream/engine/ranking.hpp"  // for rankWaitingSteps, WaitingStep

namespace poplarstream::engine {

namespace {

// A speculative task that runs longer gets a copy: few tasks of sound workers take that long.
constexpr Milliseconds copyAfter{1200};

// A task waits this long for a worker on which it has not failed: longer than most tasks run.
constexpr Milliseconds avoidedFor{1000};

struct StepPlace
{
    jobs::Job &job;
    jobs::Occurrence &occurrence;
    int occurrenceNumber;
    int step;
};

TaskRef refOf(const StepPlace &place, std::size_t index)
{
    return {place.job.submission.id, place.occurrenceNumber, place.step, static_cast<int>(index)};
}

void enter(Engine &engine, const StepPlace &place, std::size_t index, int run, Site &site,
           Spread &spread, TimePoint now)
{
    const jobs::StepSpec &step =
            place.job.submission.spec.steps[static_cast<std::size_t>(place.step)];
    jobs::Task &task = place.occurrence.steps[static_cast<std::size_t>(place.step)][index];
    jobs::Attempt attempt;
    attempt.run = run;
    attempt.worker = site.worker->entry.incarnation;
    attempt.startedAt = now;
    task.lastRun = run;
    task.attempts.push_back(std::move(attempt));
    site.room -= capacityUsedBy(step);
    site.hostsLasting = site.hostsLasting || step.longRunning;
    site.hostsServing = site.hostsServing || step.target > Milliseconds{0};
    site.hostsFillers = site.hostsFillers || step.fills;
    ++spread.onWorker[site.worker->entry.incarnation];
    ++spread.onRack[site.worker->entry.rack];
    note(engine, DecisionKind::TaskPlanned, {refOf(place, index), run},
         site.worker->entry.incarnation.id,
         fmt::format("room_milli={} token={}", site.room.cpuMilli,
                     currentToken(engine, *site.worker)));
    attach(engine, {refOf(place, index), run}, site.worker->entry.incarnation, neverSettled);
    if (place.job.state == jobs::JobState::Queued) {
        place.job.state = jobs::JobState::Running;
    }
    markDirty(engine, place.job);
}

// A task waits a while for a worker on which it has not failed, unless there is none or it should
// be at work all the time.
bool mayRetryWhereItFailed(const jobs::Task &task, const jobs::StepSpec &step,
                           const std::vector<Site> &sites, TimePoint now)
{
    return !task.failedOn.empty()
           && (step.longRunning || task.failedOn.size() >= sites.size()
               || task.notBefore + avoidedFor <= now);
}

void planTasks(Engine &engine, const StepPlace &place, std::vector<Site> &sites, TimePoint now)
{
    const jobs::StepSpec &step =
            place.job.submission.spec.steps[static_cast<std::size_t>(place.step)];
    Spread spread = spreadOf(engine, place.occurrence, place.step);
    auto &tasks = place.occurrence.steps[static_cast<std::size_t>(place.step)];
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const jobs::Task &task = tasks[index];
        if (task.isDone || !task.attempts.empty() || task.notBefore > now) {
            continue;
        }
        Site *site = chooseSite(sites, step, spread, task.failedOn, nullptr);
        if (site == nullptr && mayRetryWhereItFailed(task, step, sites, now)) {
            site = chooseSite(sites, step, spread, {}, nullptr);
        }
        if (site != nullptr) {
            enter(engine, place, index, task.lastRun + 1, *site, spread, now);
        } else if (task.failedOn.empty()) {
            return;  // the others of the step need the same
        }
    }
}

// Sites for all tasks of a gang at once, on copies of the rooms; empty when they do not fit.
std::vector<std::size_t> sitesForGang(const std::vector<Site> &sites, const jobs::StepSpec &step,
                                      std::size_t count, const RackId *rack)
{
    std::vector<Site> trial = sites;
    Spread spread;
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < count; ++i) {
        Site *const site = chooseSite(trial, step, spread, {}, rack);
        if (site == nullptr) {
            return {};
        }
        site->room -= capacityUsedBy(step);
        ++spread.onWorker[site->worker->entry.incarnation];
        chosen.push_back(static_cast<std::size_t>(site - trial.data()));
    }
    return chosen;
}

std::vector<std::size_t> sitesForGang(const std::vector<Site> &sites, const jobs::StepSpec &step,
                                      std::size_t count)
{
    if (step.sameRack) {
        std::set<RackId> racks;
        for (const Site &site : sites) {
            racks.insert(site.worker->entry.rack);
        }
        for (const RackId &rack : racks) {
            if (auto chosen = sitesForGang(sites, step, count, &rack); !chosen.empty()) {
                return chosen;
            }
        }
    }
    return sitesForGang(sites, step, count, nullptr);
}

void planGang(Engine &engine, const StepPlace &place, std::vector<Site> &sites, TimePoint now)
{
    const jobs::StepSpec &step =
            place.job.submission.spec.steps[static_cast<std::size_t>(place.step)];
    auto &tasks = place.occurrence.steps[static_cast<std::size_t>(place.step)];
    int run = 0;
    std::string checkpoint;
    for (const jobs::Task &task : tasks) {
        if (task.isDone || !task.attempts.empty() || task.notBefore > now) {
            return;  // a member is still somewhere, or has to wait
        }
        run = std::max(run, task.lastRun);
        checkpoint = checkpoint.empty() ? task.checkpoint : checkpoint;
    }
    const std::vector<std::size_t> chosen = sitesForGang(sites, step, tasks.size());
    if (chosen.empty()) {
        return;
    }
    Spread spread;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        tasks[index].checkpoint = checkpoint;
        enter(engine, place, index, run + 1, sites[chosen[index]], spread, now);
    }
}

// Whether the attempt may be long in coming.
bool needsCopy(const Engine &engine, const jobs::Attempt &attempt, TimePoint now)
{
    const auto worker = engine.workers.find(attempt.worker);
    return attempt.isStraggler || attempt.startedAt + copyAfter < now
           || worker == engine.workers.end()
           || worker->second.reachability != Reachability::Reachable;
}

// Starts copies of tasks that are in trouble, with what room is left.
void planCopies(Engine &engine, std::map<ServiceId, std::vector<Site>> &sites, TimePoint now)
{
    for (const JobId &id : engine.active) {
        jobs::Job &job = engine.jobs.at(id);
        if (job.state != jobs::JobState::Running) {
            continue;
        }
        const auto own = sites.find(serviceOf(engine, job));
        if (own == sites.end()) {
            continue;
        }
        for (auto &[number, occurrence] : job.occurrences) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const jobs::StepSpec &step = job.submission.spec.steps[i];
                if (!step.speculative || step.longRunning || occurrence.remaining[i] == 0) {
                    continue;
                }
                const StepPlace place{job, occurrence, number, static_cast<int>(i)};
                for (std::size_t index = 0; index < occurrence.steps[i].size(); ++index) {
                    const jobs::Task &task = occurrence.steps[i][index];
                    if (task.isDone || task.attempts.size() != 1
                        || !needsCopy(engine, task.attempts[0], now)) {
                        continue;
                    }
                    Spread spread = spreadOf(engine, occurrence, place.step);
                    Site *const site = chooseSite(own->second, step, spread,
                                                  {task.attempts[0].worker}, nullptr);
                    if (site != nullptr) {
                        enter(engine, place, index, task.lastRun + 1, *site, spread, now);
                    }
                }
            }
        }
    }
}

// The most of each resource that any site has left.
jobs::Resources largestRoom(const std::vector<Site> &sites)
{
    jobs::Resources largest;
    for (const Site &site : sites) {
        largest.cpuMilli = std::max(largest.cpuMilli, site.room.cpuMilli);
        largest.memoryMb = std::max(largest.memoryMb, site.room.memoryMb);
        largest.gpus = std::max(largest.gpus, site.room.gpus);
    }
    return largest;
}

}  // namespace

void planStarts(Engine &engine, TimePoint now)
{
    engine.needsPlan = false;
    if (!engine.mayStart) {
        return;
    }
    std::map<ServiceId, std::vector<Site>> sites;
    for (auto &[service, steps] : rankWaitingSteps(engine, now)) {
        auto &own = sites[service] = openSites(engine, service, now);
        const jobs::Resources largest = largestRoom(own);
        for (const WaitingStep &waiting : steps) {
            const StepPlace place{*waiting.job, waiting.job->occurrences.at(waiting.occurrence),
                                  waiting.occurrence, waiting.step};
            const auto index = static_cast<std::size_t>(waiting.step);
            if (!capacityUsedBy(waiting.job->submission.spec.steps[index]).fits(largest)) {
                continue;
            }
            if (waiting.job->submission.spec.steps[index].gang) {
                planGang(engine, place, own, now);
            } else {
                planTasks(engine, place, own, now);
            }
        }
    }
    planCopies(engine, sites, now);
}

}  // namespace poplarstream::engine
