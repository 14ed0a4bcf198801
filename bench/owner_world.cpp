#include "owner_world.hpp"

#include <algorithm>  // for count_if, min
#include <ctime>  // for clock_gettime, CLOCK_THREAD_CPUTIME_ID
#include <utility>  // for exchange

#include <fmt/format.h>  // for format

#include "poplarstream/accounts/cap.hpp"  // for limitsOf
#include "poplarstream/engine/attempts.hpp"  // for findAttempt
#include "poplarstream/engine/batches.hpp"  // for collectBatch, applyStored
#include "poplarstream/engine/incarnations.hpp"  // for registerWorker
#include "poplarstream/engine/job_events.hpp"  // for submitJob, tickJobs, configureAccounts
#include "poplarstream/engine/planning.hpp"  // for planStarts
#include "poplarstream/engine/worker_events.hpp"  // for handlePollResponse
#include "poplarstream/engine/worker_health.hpp"  // for rescheduleStragglers
#include "poplarstream/engine/worker_polling.hpp"  // for pollWorkers
#include "poplarstream/pools/planning.hpp"  // for planMachines, applyMachineList

namespace poplarstream::bench {

namespace {

constexpr Milliseconds stepTime{4};
constexpr double peak = 4.0;  // of the mean, in a service's turn
constexpr double trough = 0.05;
constexpr jobs::Resources workerCapacity{64'000, 262'144, 0};
// A long-running task is ready this long after its start.
constexpr Milliseconds readyAfter{1000};
constexpr int longRunningTasksPerJob = 25;
constexpr TimePoint never = TimePoint::max();
constexpr Milliseconds machinePeriod{100};
// The largest account reaches it when the pool of its turn is full.
constexpr jobs::Resources accountCap{600'000, 0, 0};

std::chrono::nanoseconds processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

std::string serviceName(int service)
{
    return fmt::format("service-{}", service);
}

}  // namespace

OwnerWorld::OwnerWorld(const OwnerLoad &load, std::uint64_t seed)
    : load_(load)
    , random_(seed)
    , due_(static_cast<std::size_t>(load.services), 0.0)
{
    engine_.token.epoch = 7;
    addAccounts();
    for (int service = 0; service < load.services; ++service) {
        const ServiceId id(serviceName(service));
        engine_.services[id] = {id, false};
        for (int i = 0; i < load.workersPerService; ++i) {
            engine::WorkerEntry entry;
            entry.incarnation = {engine::WorkerId(fmt::format("i-{:02}-{:04}", service, i)), 1};
            entry.service = id;
            entry.address = "10.0.0.1:80";
            entry.rack = RackId(fmt::format("rack-{}", i / 12));
            entry.capacity = workerCapacity;
            entry.clockMs = 5000;
            engine::registerWorker(engine_, entry, now_);
            workers_[entry.incarnation];
        }
        if (load.longRunningNeed.cpuMilli > 0) {
            submitLongRunning(service);
        }
    }
    if (load.hasMachines) {
        std::vector<pools::Machine> machines;
        for (const auto &[incarnation, worker] : engine_.workers) {
            machines.push_back({pools::MachineId("m-" + incarnation.id.text()),
                                worker.entry.service,
                                pools::MachineState::Up,
                                ZoneId("zone"),
                                worker.entry.rack,
                                {},
                                workerCapacity,
                                incarnation.id});
        }
        pools::applyMachineList(pools_, engine_, machines, now_, now_);
    }
}

void OwnerWorld::addAccounts()
{
    accounts::ClientAccounts accounts;
    std::map<AccountId, jobs::Resources> limits;
    for (int i = 0; i < load_.accounts; ++i) {
        const AccountId id(fmt::format("account-{:03}", i));
        accounts[id] = {id, 1, accountCap};
        limits[id] = accounts::limitsOf(accountCap);
    }
    engine::configureAccounts(engine_, std::move(accounts), std::move(limits));
}

AccountId OwnerWorld::nextAccount()
{
    if (load_.accounts == 0) {
        return {};
    }
    const double share = std::uniform_real_distribution<double>(0, 1)(accountRandom_);
    return AccountId(
            fmt::format("account-{:03}", static_cast<int>(load_.accounts * share * share * share)));
}

template <class Work>
void OwnerWorld::measure(OwnerPart part, Work work)
{
    const std::chrono::nanoseconds before = processorTime();
    work();
    PartCost &cost = costs_[static_cast<std::size_t>(part)];
    cost.spent += processorTime() - before;
    ++cost.count;
}

Milliseconds OwnerWorld::meanReportDelay() const
{
    return tasksDone_ == 0 ? Milliseconds{0} : reportDelays_ / tasksDone_;
}

// One task for each worker, in jobs of some tasks on different workers.
void OwnerWorld::submitLongRunning(int service)
{
    for (int left = load_.workersPerService; left > 0; left -= longRunningTasksPerJob) {
        jobs::Submission submission;
        submission.id = engine::JobId(fmt::format("{:016x}", nextJob_++ * 0x9e3779b97f4a7c15));
        submission.policy.queue = engine::QueueId("long-running");
        submission.policy.service = ServiceId(serviceName(service));
        submission.policy.maxAttempts = 3;
        jobs::StepSpec step;
        step.count = std::min(left, longRunningTasksPerJob);
        step.need = load_.longRunningNeed;
        step.longRunning = true;
        step.antiAffinity = 1;
        submission.spec.steps.push_back(step);
        engine::submitJob(engine_, std::move(submission), {now_, 0});
    }
}

std::int64_t OwnerWorld::jobsDone() const
{
    return std::count_if(engine_.jobs.begin(), engine_.jobs.end(), [](const auto &entry) {
        return entry.second.state == jobs::JobState::Completed;
    });
}

void OwnerWorld::run(Milliseconds duration)
{
    for (const TimePoint end = now_ + duration; now_ < end;) {
        step();
    }
}

void OwnerWorld::submitArrivals()
{
    const auto turn = (now_ - begunAt_) / load_.turn;
    for (int service = 0; service < load_.services; ++service) {
        const bool isPeak = turn % load_.services == service;
        const double mean = load_.jobsPerSecond / load_.services;
        double &due = due_[static_cast<std::size_t>(service)];
        due += mean * (isPeak ? peak : trough) * static_cast<double>(stepTime.count()) / 1000;
        for (; due >= 1; due -= 1) {
            jobs::Submission submission;
            submission.id = engine::JobId(fmt::format("{:016x}", nextJob_++ * 0x9e3779b97f4a7c15));
            submission.policy.queue = engine::QueueId("queue");
            submission.policy.service = ServiceId(serviceName(service));
            submission.policy.maxAttempts = 3;
            submission.policy.stretch = 1.5;
            submission.policy.completionTarget = Milliseconds{600};
            submission.spec.payload = std::string(200, 'p');
            submission.account = nextAccount();
            jobs::StepSpec step;
            step.count = 8;
            step.need = {8900, 8000, 0};
            step.estimate = Milliseconds{640};
            submission.spec.steps.push_back(step);
            if (random_() % 5 < 3) {
                step.after = {0};
                submission.spec.steps.push_back(step);
            }
            engine::submitJob(engine_, std::move(submission), {now_, 0});
        }
    }
}

void OwnerWorld::endRuns()
{
    for (auto &entry : workers_) {
        SimulatedWorker &worker = entry.second;
        std::erase_if(worker.running, [&](const Running &running) {
            if (running.endsAt > now_) {
                return false;
            }
            worker.completed.push_back({++worker.lastCompletion, running.ref.task, running.ref.run,
                                        jobs::AttemptResult::Done, ""});
            worker.endedAt.push_back(now_);
            ++tasksDone_;
            return true;
        });
        if (worker.isPollWaiting && (!worker.completed.empty() || worker.pollEndsAt <= now_)) {
            answerPoll(entry.first, worker);
        }
    }
}

void OwnerWorld::answerPoll(const engine::WorkerIncarnation &incarnation, SimulatedWorker &worker)
{
    worker.isPollWaiting = false;
    engine::PollResponse response;
    response.clockMs = 5000 + (now_ - begunAt_).count();
    for (const Running &running : worker.running) {
        const bool isReady = running.endsAt == never && now_ >= running.beganAt + readyAfter;
        response.running.push_back(
                {running.ref.task, running.ref.run, "", isReady ? 100 : 50, 1000});
    }
    response.completed = worker.completed;
    if (worker.lastReported < worker.lastCompletion) {
        ++polls_.withEnds;
    } else {
        ++(worker.completed.empty() ? polls_.timedOut : polls_.repeated);
    }
    for (const TimePoint endedAt : std::exchange(worker.endedAt, {})) {
        reportDelays_ += now_ - endedAt;
    }
    worker.lastReported = worker.lastCompletion;
    measure(OwnerPart::Responses, [&] {
        engine::handlePollResponse(engine_, incarnation, worker.pollNumber, response, now_);
    });
}

void OwnerWorld::handleCommands()
{
    for (const engine::Command &command : std::exchange(engine_.commands, {})) {
        if (const auto *const poll = std::get_if<engine::PollCommand>(&command)) {
            SimulatedWorker &worker = workers_.at(poll->target.worker);
            std::erase_if(worker.completed, [poll](const engine::CompletionReport &report) {
                return report.number <= poll->acknowledged;
            });
            worker.pollNumber = poll->number;
            worker.pollEndsAt = now_ + poll->wait;
            worker.isPollWaiting = true;
        } else if (const auto *const start = std::get_if<engine::StartCommand>(&command)) {
            const engine::AttemptRef ref{start->task, start->run};
            const Milliseconds length(300 + static_cast<std::int64_t>(random_() % 700));
            const bool isLongRunning =
                    engine::stepOf(engine_.jobs.at(ref.task.job), ref.task).longRunning;
            workers_.at(start->target.worker)
                    .running.push_back({ref, now_, isLongRunning ? never : now_ + length});
            measure(OwnerPart::Responses, [&] {
                engine::handleStartResult(engine_, ref, start->target.worker,
                                          engine::StartResult::Started, 0, now_);
            });
        }
    }
}

void OwnerWorld::step()
{
    now_ += stepTime;
    submitArrivals();
    endRuns();
    const auto elapsed = now_ - begunAt_;
    if (elapsed % load_.tickInterval == Milliseconds{0}) {
        measure(OwnerPart::Health, [this] { engine::rescheduleStragglers(engine_, now_); });
        measure(OwnerPart::Jobs, [this] { engine::tickJobs(engine_, {now_, 0}); });
    }
    if (load_.hasMachines && elapsed % machinePeriod == Milliseconds{0}) {
        measure(OwnerPart::Machines, [this] { pools::planMachines(pools_, engine_, now_); });
    }
    if (engine_.needsPlan && elapsed % load_.planInterval == Milliseconds{0}) {
        measure(OwnerPart::Plan, [this] { engine::planStarts(engine_, now_); });
    }
    measure(OwnerPart::Polls, [this] { engine::pollWorkers(engine_, now_); });
    if (writing_ && writtenAt_ + load_.storeDelay <= now_) {
        measure(OwnerPart::Stored, [this] { engine::applyStored(engine_, *writing_, now_); });
        writing_.reset();
    }
    if (!writing_) {
        engine::Batch batch;
        measure(OwnerPart::Encode, [&] { batch = engine::collectBatch(engine_); });
        if (!batch.isEmpty()) {
            writing_ = std::move(batch);
            writtenAt_ = now_;
        }
    }
    engine_.decisions.clear();
    handleCommands();
}

}  // namespace poplarstream::bench
