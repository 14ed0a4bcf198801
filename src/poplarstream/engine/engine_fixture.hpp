#pragma once

#include <algorithm>  // for find_if
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/engine/attempts.hpp"  // for findAttempt
#include "poplarstream/engine/batches.hpp"  // for collectBatch, applyStored
#include "poplarstream/engine/incarnations.hpp"  // for registerWorker
#include "poplarstream/engine/job_events.hpp"  // for submitJob
#include "poplarstream/engine/planning.hpp"  // for planStarts
#include "poplarstream/engine/worker_events.hpp"  // for handlePollResponse
#include "poplarstream/engine/worker_polling.hpp"  // for pollWorkers

namespace poplarstream::engine::test {

inline constexpr const char *firstJob = "00000000000000a1";
inline constexpr const char *secondJob = "00000000000000b2";

// A job of one step.
inline jobs::Submission submission(const std::string &id, const jobs::StepSpec &step)
{
    jobs::Submission submission;
    submission.id = JobId(id);
    submission.policy.queue = QueueId("proofs");
    submission.policy.service = ServiceId("shop");
    submission.policy.maxAttempts = 3;
    submission.policy.completionTarget = Milliseconds{600};
    submission.spec.payload = "payload";
    submission.spec.steps = {step};
    return submission;
}

inline jobs::StepSpec step(int count, std::int64_t cpuMilli)
{
    jobs::StepSpec step;
    step.count = count;
    step.need = {cpuMilli, 100, 0};
    step.estimate = Milliseconds{500};
    return step;
}

// An owner with reachable workers "w1", "w2", ... of 4 cores. The test advances the time.
struct EngineFixture
{
    Engine engine;
    TimePoint now = timePoint(1'000'000);

    explicit EngineFixture(int workers = 2)
    {
        engine.token.epoch = 7;
        for (int i = 1; i <= workers; ++i) {
            addWorker("w" + std::to_string(i));
        }
        poll();
        answerPolls();
    }

    // Adds a worker to the registry.
    void addWorker(const std::string &id, std::int64_t startedUnixMs = 1, bool isDraining = false)
    {
        WorkerEntry entry;
        entry.incarnation = {WorkerId(id), startedUnixMs};
        entry.service = ServiceId("shop");
        entry.address = "10.0.0.1:80";
        entry.rack = RackId("rack-" + id);
        entry.capacity = {4000, 10'000, 0};
        entry.isDraining = isDraining;
        entry.clockMs = 5000;
        registerWorker(engine, entry, now);
    }

    // The clock of all workers.
    std::int64_t workerClockMs() const { return 6000 + (now - timePoint(1'000'000)).count(); }

    static WorkerIncarnation incarnation(const std::string &id, std::int64_t startedUnixMs = 1)
    {
        return {WorkerId(id), startedUnixMs};
    }
    Worker &worker(const std::string &id) { return engine.workers.at(incarnation(id)); }
    jobs::Job &job(const std::string &id = firstJob) { return engine.jobs.at(JobId(id)); }
    static AttemptRef ref(int index = 0, int run = 1, const std::string &id = firstJob)
    {
        return {{JobId(id), 0, 0, index}, run};
    }

    void submit(const jobs::Submission &submitted)
    {
        submitJob(engine, submitted, {now, submitted.acceptedUnixMs});
    }

    // Removes and returns the commands of one kind.
    template <class Kind>
    std::vector<Kind> take()
    {
        std::vector<Kind> taken;
        std::vector<Command> rest;
        for (Command &command : engine.commands) {
            if (auto *const wanted = std::get_if<Kind>(&command)) {
                taken.push_back(std::move(*wanted));
            } else {
                rest.push_back(std::move(command));
            }
        }
        engine.commands = std::move(rest);
        return taken;
    }

    // Writes the pending changes and applies the result.
    Batch store()
    {
        Batch batch = collectBatch(engine);
        applyStored(engine, batch, now);
        return batch;
    }

    // Plans and stores; returns the start commands.
    std::vector<StartCommand> start()
    {
        planStarts(engine, now);
        store();
        return take<StartCommand>();
    }

    void answerStart(const StartCommand &command, StartResult result = StartResult::Started)
    {
        handleStartResult(engine, {command.task, command.run}, command.target.worker, result,
                          workerClockMs(), now);
    }

    // Plans and stores; confirms and returns all start commands.
    std::vector<StartCommand> startAll()
    {
        std::vector<StartCommand> starts = start();
        for (const StartCommand &command : starts) {
            answerStart(command);
        }
        return starts;
    }

    std::vector<PollCommand> poll()
    {
        pollWorkers(engine, now);
        return polls = take<PollCommand>();
    }

    // Responds to the poll in flight at a worker.
    void answer(const std::string &id, std::vector<RunningReport> running = {},
                std::vector<CompletionReport> completed = {})
    {
        PollResponse response;
        response.clockMs = workerClockMs();
        response.running = std::move(running);
        response.completed = std::move(completed);
        handlePollResponse(engine, incarnation(id), worker(id).pollNumber, response, now);
    }

    void answerPolls()
    {
        for (const PollCommand &command : polls) {
            answer(command.target.worker.id.text());
        }
    }

    void leavePollUnanswered(const std::string &id)
    {
        handlePollResponse(engine, incarnation(id), worker(id).pollNumber, {}, now);
    }

    std::vector<PollCommand> polls;
};

}  // namespace poplarstream::engine::test
