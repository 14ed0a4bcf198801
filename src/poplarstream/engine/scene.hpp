#pragma once

#include <algorithm>  // for find_if
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/engine/attempts.hpp"  // for findAttempt
#include "poplarstream/engine/batches.hpp"  // for takeBatch, applyStored
#include "poplarstream/engine/job_events.hpp"  // for submitJob
#include "poplarstream/engine/looks.hpp"  // for lookAtWorkers
#include "poplarstream/engine/planning.hpp"  // for planStarts
#include "poplarstream/engine/worker_events.hpp"  // for listWorker, takeLookAnswer

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
struct Scene
{
    Engine engine;
    TimePoint now = timePoint(1'000'000);

    explicit Scene(int workers = 2)
    {
        engine.token.epoch = 7;
        for (int i = 1; i <= workers; ++i) {
            list("w" + std::to_string(i));
        }
        look();
        answerLooks();
    }

    void list(const std::string &id, std::int64_t bornMs = 1, bool isDraining = false)
    {
        WorkerEntry entry;
        entry.life = {WorkerId(id), bornMs};
        entry.service = ServiceId("shop");
        entry.address = "10.0.0.1:80";
        entry.rack = RackId("rack-" + id);
        entry.capacity = {4000, 10'000, 0};
        entry.isDraining = isDraining;
        entry.clockMs = 5000;
        listWorker(engine, entry, now);
    }

    static WorkerLife life(const std::string &id, std::int64_t bornMs = 1)
    {
        return {WorkerId(id), bornMs};
    }
    Worker &worker(const std::string &id) { return engine.workers.at(life(id)); }
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
        std::vector<Order> rest;
        for (Order &order : engine.orders) {
            if (auto *const wanted = std::get_if<Kind>(&order)) {
                taken.push_back(std::move(*wanted));
            } else {
                rest.push_back(std::move(order));
            }
        }
        engine.orders = std::move(rest);
        return taken;
    }

    Batch store()
    {
        Batch batch = takeBatch(engine);
        applyStored(engine, batch, now);
        return batch;
    }

    // Plans, writes, and returns the starts that were sent.
    std::vector<StartOrder> start()
    {
        planStarts(engine, now);
        store();
        return take<StartOrder>();
    }

    void answerStart(const StartOrder &order, StartResult result = StartResult::Started)
    {
        takeStartResult(engine, {order.task, order.run}, order.target.worker, result, 6000, now);
    }

    // Plans, writes, sends and lets every start succeed.
    std::vector<StartOrder> startAll()
    {
        std::vector<StartOrder> starts = start();
        for (const StartOrder &order : starts) {
            answerStart(order);
        }
        return starts;
    }

    std::vector<LookOrder> look()
    {
        lookAtWorkers(engine, now);
        return looks = take<LookOrder>();
    }

    // Answers the look under way at a worker.
    void answer(const std::string &id, std::vector<RunningReport> running = {},
                std::vector<EndReport> ended = {})
    {
        LookAnswer answer;
        answer.clockMs = 6000;
        answer.running = std::move(running);
        answer.ended = std::move(ended);
        takeLookAnswer(engine, life(id), worker(id).lookNumber, answer, now);
    }

    void answerLooks()
    {
        for (const LookOrder &order : looks) {
            answer(order.target.worker.id.text());
        }
    }

    void silence(const std::string &id)
    {
        takeLookAnswer(engine, life(id), worker(id).lookNumber, {}, now);
    }

    std::vector<LookOrder> looks;
};

}  // namespace poplarstream::engine::test
