#include "poplarstream/engine/account_loads.hpp"

#include <algorithm>  // for max, min
#include <array>  // for array
#include <set>  // for set

#include "poplarstream/engine/ranking.hpp"  // for serviceOf
#include "poplarstream/jobs/queries.hpp"  // for endsByItself

namespace poplarstream::engine {

namespace {

// Processor time, memory and GPUs, or these times milliseconds.
using Amounts = std::array<double, 3>;

// A share of a pool without machines drains within this.
constexpr double longestWaitMs = 60'000;

Amounts amountsOf(const jobs::Resources &resources)
{
    return {static_cast<double>(resources.cpuMilli), static_cast<double>(resources.memoryMb),
            static_cast<double>(resources.gpus)};
}

void add(Amounts &sum, const Amounts &amounts, double factor)
{
    for (std::size_t i = 0; i < sum.size(); ++i) {
        sum.at(i) += amounts.at(i) * factor;
    }
}

// What the jobs of an account wait for in one service.
struct Waiting
{
    Amounts work{};  // of tasks that have not ended
    double jobs = 0;
    double objectiveMs = 0;  // of all these jobs together
};

struct ServiceLoad
{
    Amounts capacity{};
    std::map<AccountId, Waiting> waiting;
};

void addJob(Waiting &waiting, const jobs::Job &job)
{
    const jobs::QueuePolicy &policy = job.submission.policy;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.remaining.size(); ++step) {
            const jobs::StepSpec &spec = job.submission.spec.steps[step];
            add(waiting.work, amountsOf(spec.need),
                static_cast<double>(spec.estimate.count()) * occurrence.remaining[step]);
        }
    }
    ++waiting.jobs;
    waiting.objectiveMs += policy.stretch * static_cast<double>(job.criticalPath.count())
                           + static_cast<double>(policy.completionTarget.count());
}

std::map<ServiceId, ServiceLoad> serviceLoads(const Engine &engine)
{
    std::map<ServiceId, ServiceLoad> loads;
    for (const jobs::Job *const job : engine.waiting) {
        if (jobs::endsByItself(job->submission.spec)) {
            addJob(loads[serviceOf(engine, *job)].waiting[job->submission.account], *job);
        }
    }
    for (const auto &[incarnation, worker] : engine.workers) {
        const auto load = loads.find(worker.entry.service);
        if (load != loads.end() && !worker.isGone
            && worker.reachability == Reachability::Reachable) {
            add(load->second.capacity, amountsOf(worker.entry.capacity), 1);
        }
    }
    return loads;
}

double weightOf(const Engine &engine, const AccountId &id)
{
    const auto account = engine.accounts.find(id);
    return account != engine.accounts.end() ? account->second.weight : 1;
}

// How long an account waits with `share` of the capacity, within its limits.
Milliseconds waitOf(const Waiting &waiting, const Amounts &capacity, const Amounts &limits,
                    double share)
{
    double longest = 0;
    for (std::size_t i = 0; i < capacity.size(); ++i) {
        const double work = waiting.work.at(i);
        const double available = std::min(capacity.at(i) * share, limits.at(i));
        if (work > 0) {
            longest = std::max(longest, available > 0 ? work / available : longestWaitMs);
        }
    }
    return Milliseconds(static_cast<std::int64_t>(std::min(longest, longestWaitMs)));
}

// An account waits as long as in the service in which it is late by most.
void addService(std::map<AccountId, accounts::AccountLoad> &loads, const AccountId &id,
                const ServiceId &service, accounts::AccountLoad load)
{
    const auto [place, isFirst] = loads.try_emplace(id, load);
    accounts::AccountLoad &known = place->second;
    std::set<ServiceId> late = known.lateServices;
    if (load.wait > load.objective) {
        late.insert(service);
    }
    if (!isFirst && load.wait - load.objective > known.wait - known.objective) {
        known = std::move(load);
    }
    known.lateServices = std::move(late);
}

}  // namespace

std::map<AccountId, accounts::AccountLoad> accountLoads(const Engine &engine, int shards,
                                                        TimePoint now)
{
    std::map<AccountId, accounts::AccountLoad> found;
    if (engine.accounts.empty()) {
        return found;
    }
    for (const auto &[service, load] : serviceLoads(engine)) {
        double weights = 0;
        for (const auto &[id, waiting] : load.waiting) {
            weights += weightOf(engine, id);
        }
        for (const auto &[id, waiting] : load.waiting) {
            const auto limit = engine.accountLimits.find(id);
            if (!engine.accounts.contains(id) || limit == engine.accountLimits.end()) {
                continue;
            }
            accounts::AccountLoad account;
            account.owedPerS = weightOf(engine, id) / shards;
            account.wait = waitOf(waiting, load.capacity, amountsOf(limit->second),
                                  weightOf(engine, id) / weights);
            account.objective =
                    Milliseconds(static_cast<std::int64_t>(waiting.objectiveMs / waiting.jobs));
            addService(found, id, service, account);
        }
    }
    for (const jobs::Job *const job : engine.active) {
        const auto account = found.find(job->submission.account);
        if (account != found.end() && job->acceptedAt > now - accounts::admissionWindow
            && jobs::endsByItself(job->submission.spec)) {
            account->second.acceptedPerS +=
                    1000.0 / static_cast<double>(accounts::admissionWindow.count());
        }
    }
    return found;
}

}  // namespace poplarstream::engine
