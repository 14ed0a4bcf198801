#pragma once

#include <cstdint>  // for int64_t
#include <queue>  // for priority_queue
#include <random>  // for mt19937_64
#include <vector>  // for vector

#include "poplarstream/engine/state.hpp"  // for Engine, AttemptRef

namespace poplarstream::bench {

// The load of an owner: workers of several services, and jobs whose arrivals take turns.
struct OwnerLoad
{
    int services = 4;
    int workersPerService = 230;
    double jobsPerSecond = 165;
    Milliseconds turn{4500};  // each service in its turn gets five times its mean
};

// An owner's engine with simulated workers that respond without delay and a store that takes a few
// milliseconds. Only the decisions are real.
class OwnerWorld
{
public:
    OwnerWorld(const OwnerLoad &load, std::uint64_t seed);

    // Advances the time by `duration`.
    void run(Milliseconds duration);

    std::int64_t tasksDone() const { return tasksDone_; }
    std::int64_t jobsDone() const;
    const engine::Engine &engine() const { return engine_; }

private:
    struct Running
    {
        engine::AttemptRef ref;
        TimePoint endsAt{};
    };
    struct SimulatedWorker
    {
        std::vector<Running> running;
        std::vector<engine::CompletionReport> completed;
        std::int64_t lastCompletion = 0;
        bool isPollWaiting = false;
        std::int64_t pollNumber = 0;
        TimePoint pollEndsAt{};
    };

    void submitArrivals();
    void handleCommands();
    void answerPoll(const engine::WorkerIncarnation &incarnation, SimulatedWorker &worker);
    void endRuns();
    void step();

    OwnerLoad load_;
    std::mt19937_64 random_;
    engine::Engine engine_;
    TimePoint now_ = timePoint(1'000'000);
    TimePoint begunAt_ = now_;
    std::map<engine::WorkerIncarnation, SimulatedWorker> workers_;
    std::vector<double> due_;  // fractions of jobs that have arrived, by service
    std::optional<engine::Batch> writing_;
    TimePoint writtenAt_{};
    std::int64_t nextJob_ = 1;
    std::int64_t tasksDone_ = 0;
};

}  // namespace poplarstream::bench
