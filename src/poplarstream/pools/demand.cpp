#include "poplarstream/pools/demand.hpp"

#include <algorithm>  // for count_if, max, min
#include <cmath>  // for ceil
#include <unordered_map>  // for unordered_map

#include "poplarstream/engine/account_caps.hpp"  // for ownedCap, useOf
#include "poplarstream/engine/attempts.hpp"  // for capacityUsedBy
#include "poplarstream/engine/ranking.hpp"  // for serviceOf, deadlineClassOf
#include "poplarstream/jobs/queries.hpp"  // for isFinal, isStepReady, isWaiting

namespace poplarstream::pools {

namespace {

// Tasks rarely add up to the exact capacity of a machine.
constexpr double fillableShare = 0.9;

// How far a step of a job has come.
struct StepProgress
{
    bool canStart = false;  // its turn has come, and its job goes on
    engine::DeadlineClass deadlineClass = engine::DeadlineClass::Expired;
};

// The members of a gang start together, so that they need their workers at the same time, like
// tasks that run on and on.
void addMinWorkers(Demand &demand, const jobs::StepSpec &step, const StepProgress &progress)
{
    if ((step.longRunning || (step.gang && progress.canStart)) && step.antiAffinity > 0) {
        const int workers = (step.count + step.antiAffinity - 1) / step.antiAffinity;
        demand.minWorkers = std::max(demand.minWorkers, workers);
    }
}

void addLateTask(Demand &demand, const jobs::Resources &need, const StepProgress &progress)
{
    if (progress.canStart
        && (progress.deadlineClass == engine::DeadlineClass::Late
            || progress.deadlineClass == engine::DeadlineClass::Expired)) {
        demand.largestLate.cpuMilli = std::max(demand.largestLate.cpuMilli, need.cpuMilli);
        demand.largestLate.memoryMb = std::max(demand.largestLate.memoryMb, need.memoryMb);
    }
}

// What the waiting tasks of an account need in full, and by service.
struct AccountDemand
{
    jobs::Resources needed;
    jobs::Resources widest;  // of each, the most that one of them needs
    std::map<ServiceId, Demand> byService;
};

void addNeed(AccountDemand &account, const jobs::Resources &need, int count)
{
    account.needed.cpuMilli += need.cpuMilli * count;
    account.needed.memoryMb += need.memoryMb * count;
    account.needed.gpus += need.gpus * count;
    account.widest.cpuMilli = std::max(account.widest.cpuMilli, need.cpuMilli);
    account.widest.memoryMb = std::max(account.widest.memoryMb, need.memoryMb);
    account.widest.gpus = std::max(account.widest.gpus, need.gpus);
}

void addWaitingNeeds(AccountDemand &account, const jobs::Job &job,
                     const jobs::Occurrence &occurrence)
{
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        const jobs::StepSpec &step = job.submission.spec.steps[i];
        const auto &tasks = occurrence.steps[i];
        const auto count = job.state == jobs::JobState::Queued
                                   ? static_cast<std::ptrdiff_t>(tasks.size())
                                   : std::count_if(tasks.begin(), tasks.end(), jobs::isWaiting);
        if (count > 0) {
            addNeed(account, step.need, static_cast<int>(count));
        }
    }
}

// The part of the account's waiting tasks that its cap lets start beside what it has running, 0 to
// 1. One task may start even if it is wider than what is left, see accounts::mayStart.
double startableShare(const engine::Engine &engine, const AccountId &id,
                      const AccountDemand &account)
{
    const auto cap = engine::ownedCap(engine, id);
    if (!cap) {
        return 0;
    }
    const jobs::Resources use = engine::useOf(engine, id);
    double share = 1;
    for (const auto amount :
         {&jobs::Resources::cpuMilli, &jobs::Resources::memoryMb, &jobs::Resources::gpus}) {
        const std::int64_t limit = cap->limits.*amount;
        std::int64_t left = std::max<std::int64_t>(limit - use.*amount, 0);
        if (use.*amount * 2 < limit) {
            left = std::max(left, account.widest.*amount);
        }
        if (account.needed.*amount > left) {
            share = std::min(share, static_cast<double>(left)
                                            / static_cast<double>(account.needed.*amount));
        }
    }
    return share;
}

jobs::Resources scaled(const jobs::Resources &amount, double share)
{
    const auto part = [share](std::int64_t each) {
        return static_cast<std::int64_t>(std::ceil(static_cast<double>(each) * share));
    };
    return {part(amount.cpuMilli), part(amount.memoryMb), part(amount.gpus)};
}

void addAccount(Demand &demand, const Demand &own, double share)
{
    demand.running += own.running;
    demand.longRunning += own.longRunning;
    demand.waiting += scaled(own.waiting, share);
    demand.late += scaled(own.late, share);
    demand.unplaced += scaled(own.unplaced, share);
    if (share > 0) {
        demand.largestLate.cpuMilli =
                std::max(demand.largestLate.cpuMilli, own.largestLate.cpuMilli);
        demand.largestLate.memoryMb =
                std::max(demand.largestLate.memoryMb, own.largestLate.memoryMb);
    }
    // Workers on which the account has tasks are kept, whether it may start more or not.
    if (share > 0 || own.running != jobs::Resources{}) {
        demand.minWorkers = std::max(demand.minWorkers, own.minWorkers);
    }
}

void addStep(Demand &demand, const jobs::Occurrence &occurrence, const jobs::StepSpec &step,
             std::size_t index, const StepProgress &progress, TimePoint now)
{
    const engine::DeadlineClass deadlineClass = progress.deadlineClass;
    const jobs::Resources need = engine::capacityUsedBy(step);
    for (const jobs::Task &task : occurrence.steps[index]) {
        if (jobs::isWaiting(task) && task.notBefore <= now) {
            addLateTask(demand, need, progress);
        }
        if (!task.attempts.empty()) {
            demand.running += need;
            if (step.longRunning) {
                demand.longRunning += need;
            }
        } else if (task.isDone || task.isGivenUp
                   || deadlineClass == engine::DeadlineClass::Expired) {
            continue;
        } else if (deadlineClass == engine::DeadlineClass::Late) {
            demand.late += need;
        } else {
            demand.waiting += need;
            if (step.longRunning && task.notBefore <= now) {
                demand.unplaced += need;
            }
        }
    }
    const bool isDone = occurrence.remaining[index] == 0;
    addMinWorkers(demand, step, {progress.canStart && !isDone, deadlineClass});
}

// The same for a job that has not started a task: all of them are alike.
void addUntouchedStep(Demand &demand, const jobs::StepSpec &step, const StepProgress &progress)
{
    const engine::DeadlineClass deadlineClass = progress.deadlineClass;
    jobs::Resources need = engine::capacityUsedBy(step);
    addLateTask(demand, need, progress);
    need.cpuMilli *= step.count;
    need.memoryMb *= step.count;
    need.gpus *= step.count;
    if (deadlineClass == engine::DeadlineClass::Late) {
        demand.late += need;
    } else if (deadlineClass != engine::DeadlineClass::Expired) {
        demand.waiting += need;
        if (step.longRunning) {
            demand.unplaced += need;
        }
    }
    addMinWorkers(demand, step, progress);
}

// Whether only one such task fits on a machine of that capacity.
bool takesMostOfAMachine(const jobs::Resources &need, const jobs::Resources &capacity)
{
    return need.cpuMilli * 2 > capacity.cpuMilli || need.memoryMb * 2 > capacity.memoryMb;
}

int ceilDiv(double amount, std::int64_t capacity)
{
    return capacity <= 0 ? 0
                         : static_cast<int>(std::ceil(
                                 amount / (static_cast<double>(capacity) * fillableShare)));
}

}  // namespace

std::map<ServiceId, Demand> demandByService(const engine::Engine &engine, TimePoint now)
{
    std::map<ServiceId, Demand> demands;
    std::unordered_map<AccountId, AccountDemand> accounts;
    for (const jobs::Job *const each : engine.active) {
        const jobs::Job &job = *each;
        if (job.isHeld) {
            continue;
        }
        const ServiceId &service = engine::serviceOf(engine, job);
        AccountDemand *const account =
                job.submission.account.isEmpty() ? nullptr : &accounts[job.submission.account];
        Demand &demand = account == nullptr ? demands[service] : account->byService[service];
        for (const auto &[number, occurrence] : job.occurrences) {
            const engine::DeadlineClass deadlineClass =
                    jobs::isFinal(job.state) ? engine::DeadlineClass::Expired
                                             : engine::deadlineClassOf(job, occurrence, now);
            if (account != nullptr && deadlineClass != engine::DeadlineClass::Expired) {
                addWaitingNeeds(*account, job, occurrence);
            }
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const jobs::StepSpec &step = job.submission.spec.steps[i];
                StepProgress progress;
                if (jobs::isStepReady(job, occurrence, static_cast<int>(i))) {
                    progress = {!jobs::isFinal(job.state), deadlineClass};
                }
                if (job.state == jobs::JobState::Queued) {
                    addUntouchedStep(demand, step, progress);
                } else {
                    addStep(demand, occurrence, step, i, progress, now);
                }
            }
        }
    }
    for (const auto &[id, account] : accounts) {
        const double share = startableShare(engine, id, account);
        for (const auto &[service, own] : account.byService) {
            addAccount(demands[service], own, share);
        }
    }
    return demands;
}

int machinesFor(const jobs::Resources &total, const jobs::Resources &capacity)
{
    const int byProcessor = ceilDiv(static_cast<double>(total.cpuMilli), capacity.cpuMilli);
    const int byMemory = ceilDiv(static_cast<double>(total.memoryMb), capacity.memoryMb);
    return std::max(byProcessor, byMemory);
}

int machinesFor(const Demand &demand, const jobs::Resources &capacity, int available,
                bool includeLate)
{
    jobs::Resources total = demand.running;
    total += demand.waiting;
    if (includeLate) {
        total += demand.late;
    }
    // Unplaced tasks fit on no available machine, even if the totals suggest that they do.
    const int extra = std::max(machinesFor(demand.unplaced, capacity),
                               takesMostOfAMachine(demand.largestLate, capacity) ? 1 : 0);
    return std::max(
            {machinesFor(total, capacity), demand.minWorkers, extra > 0 ? available + extra : 0});
}

int machinesFor(const Demand &demand, const Load &expected, const jobs::Resources &capacity)
{
    const double cpuMilli = static_cast<double>(demand.longRunning.cpuMilli) + expected.cpuMilli;
    const double memoryMb = static_cast<double>(demand.longRunning.memoryMb) + expected.memoryMb;
    return std::max(ceilDiv(cpuMilli, capacity.cpuMilli), ceilDiv(memoryMb, capacity.memoryMb));
}

}  // namespace poplarstream::pools
