#pragma once

#include <algorithm>  // for find_if
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/engine/attempts.hpp"  // for findAttempt
#include "poplarstream/engine/batches.hpp"  // for collectBatch, applyStored
#include "poplarstream/engine/job_events.hpp"  // for submitJob
#include "poplarstream/engine/planning.hpp"  // for planStarts
#include "poplarstream/engine/worker_events.hpp"  // for registerWorker, handlePollResponse
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

// An owner with open workers "w1", "w2", ... of 4 cores. Time is a value that the test moves.
struct EngineFixture
{
    Engine engine;
    TimePoint now = timePoint(1'000'000);

    explicit EngineFixture(int workers = 2)
    {
        engine.token.epoch = 7;
        for (int i = 1; i <= workers; ++i) {
            list("w" + std::to_string(i));
        }
        poll();
        answerLooks();
    }

    void list(const std::string &id, std::int64_t startedUnixMs = 1, bool isDraining = false)
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

    template <class Kind>
    std::vector<Kind> take()
    {
        std::vector<Kind> taken;
        std::vector<Command> rest;
        for (Command &order : engine.commands) {
            if (auto *const wanted = std::get_if<Kind>(&order)) {
                taken.push_back(std::move(*wanted));
            } else {
                rest.push_back(std::move(order));
            }
        }
        engine.commands = std::move(rest);
        return taken;
    }

    Batch store()
    {
        Batch batch = collectBatch(engine);
        applyStored(engine, batch, now);
        return batch;
    }

    // Plans, writes, and returns the starts that were sent.
    std::vector<StartCommand> start()
    {
        planStarts(engine, now);
        store();
        return take<StartCommand>();
    }

    void answerStart(const StartCommand &order, StartResult result = StartResult::Started)
    {
        handleStartResult(engine, {order.task, order.run}, order.target.worker, result, 6000, now);
    }

    // Plans, writes, sends and lets every start succeed.
    std::vector<StartCommand> startAll()
    {
        std::vector<StartCommand> starts = start();
        for (const StartCommand &order : starts) {
            answerStart(order);
        }
        return starts;
    }

    std::vector<PollCommand> poll()
    {
        pollWorkers(engine, now);
        return looks = take<PollCommand>();
    }

    // Answers the poll under way at a worker.
    void answer(const std::string &id, std::vector<RunningReport> running = {},
                std::vector<CompletionReport> completed = {})
    {
        PollResponse answer;
        answer.clockMs = 6000;
        answer.running = std::move(running);
        answer.completed = std::move(completed);
        handlePollResponse(engine, incarnation(id), worker(id).lookNumber, answer, now);
    }

    void answerLooks()
    {
        for (const PollCommand &order : looks) {
            answer(order.target.worker.id.text());
        }
    }

    void silence(const std::string &id)
    {
        handlePollResponse(engine, incarnation(id), worker(id).lookNumber, {}, now);
    }

    std::vector<PollCommand> looks;
};

}  // namespace poplarstream::engine::test
