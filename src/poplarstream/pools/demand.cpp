#include "poplarstream/pools/demand.hpp"

#include <algorithm>  // for max
#include <cmath>  // for ceil

#include "poplarstream/engine/attempts.hpp"  // for capacityUsedBy
#include "poplarstream/engine/ranking.hpp"  // for serviceOf, deadlineClassOf
#include "poplarstream/jobs/queries.hpp"  // for isFinal, isStepReady

namespace poplarstream::pools {

namespace {

// Tasks rarely add up to the exact capacity of a machine.
constexpr double fillableShare = 0.9;

void addMinWorkers(Demand &demand, const jobs::StepSpec &step)
{
    if (step.longRunning && step.antiAffinity > 0) {
        const int workers = (step.count + step.antiAffinity - 1) / step.antiAffinity;
        demand.minWorkers = std::max(demand.minWorkers, workers);
    }
}

void addStep(Demand &demand, const jobs::Occurrence &occurrence, const jobs::StepSpec &step,
             std::size_t index, engine::DeadlineClass deadlineClass, TimePoint now)
{
    const jobs::Resources need = engine::capacityUsedBy(step);
    for (const jobs::Task &task : occurrence.steps[index]) {
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
    addMinWorkers(demand, step);
}

// The same for a job that has not started a task: all of them are alike.
void addUntouchedStep(Demand &demand, const jobs::StepSpec &step,
                      engine::DeadlineClass deadlineClass)
{
    jobs::Resources need = engine::capacityUsedBy(step);
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
    addMinWorkers(demand, step);
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
    for (const jobs::Job *const each : engine.active) {
        const jobs::Job &job = *each;
        if (job.isHeld) {
            continue;
        }
        Demand &demand = demands[engine::serviceOf(engine, job)];
        for (const auto &[number, occurrence] : job.occurrences) {
            const engine::DeadlineClass deadlineClass =
                    jobs::isFinal(job.state) ? engine::DeadlineClass::Expired
                                             : engine::deadlineClassOf(job, occurrence, now);
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const jobs::StepSpec &step = job.submission.spec.steps[i];
                const engine::DeadlineClass stepClass =
                        jobs::isStepReady(job, occurrence, static_cast<int>(i))
                                ? deadlineClass
                                : engine::DeadlineClass::Expired;
                if (job.state == jobs::JobState::Queued) {
                    addUntouchedStep(demand, step, stepClass);
                } else {
                    addStep(demand, occurrence, step, i, stepClass, now);
                }
            }
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
    const int extra = machinesFor(demand.unplaced, capacity);
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
