#pragma once

#include <array>  // for array
#include <chrono>  // for nanoseconds
#include <cstdint>  // for int64_t
#include <random>  // for mt19937_64
#include <vector>  // for vector

#include "poplarstream/engine/state.hpp"  // for Engine, AttemptRef
#include "poplarstream/pools/state.hpp"  // for Pools

namespace poplarstream::bench {

// The load of an owner: workers of several services, and jobs whose arrivals take turns.
struct OwnerLoad
{
    int services = 4;
    int workersPerService = 230;
    double jobsPerSecond = 165;
    Milliseconds turn{4500};  // each service in its turn gets five times its mean
    // Of the one long-running task on each worker; without processor time there are none.
    jobs::Resources longRunningNeed;
    Milliseconds planInterval{8};
    Milliseconds tickInterval{40};
    Milliseconds storeDelay{8};
    int accounts = 0;  // of the jobs; a few of them have most
    bool hasMachines = false;  // whether machines are planned
};

// The parts of the owner's work that are timed.
enum class OwnerPart { Plan, Health, Jobs, Polls, Responses, Encode, Stored, Machines };
inline constexpr std::size_t ownerParts = 8;

struct PartCost
{
    std::chrono::nanoseconds spent{0};  // processor time
    std::int64_t count = 0;
};

// Responses to polls by what ended them.
struct PollCounts
{
    std::int64_t withEnds = 0;
    std::int64_t timedOut = 0;  // the worker had nothing to report
    std::int64_t repeated = 0;  // all ends had been reported before

    std::int64_t total() const { return withEnds + timedOut + repeated; }
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
    const PollCounts &polls() const { return polls_; }
    PartCost cost(OwnerPart part) const { return costs_[static_cast<std::size_t>(part)]; }
    // Mean time from the end of a task until it was reported to the owner.
    Milliseconds meanReportDelay() const;
    const engine::Engine &engine() const { return engine_; }

private:
    struct Running
    {
        engine::AttemptRef ref;
        TimePoint beganAt{};
        TimePoint endsAt{};
    };
    struct SimulatedWorker
    {
        std::vector<Running> running;
        std::vector<engine::CompletionReport> completed;  // and not acknowledged
        std::vector<TimePoint> endedAt;  // of those not reported
        std::int64_t lastCompletion = 0;
        std::int64_t lastReported = 0;
        bool isPollWaiting = false;
        std::int64_t pollNumber = 0;
        TimePoint pollEndsAt{};
    };

    // Adds the processor time of `work` to the costs of `part`.
    template <class Work>
    void measure(OwnerPart part, Work work);
    void addAccounts();
    // The account of the next job; empty without accounts.
    AccountId nextAccount();
    void submitLongRunning(int service);
    void submitArrivals();
    void handleCommands();
    void answerPoll(const engine::WorkerIncarnation &incarnation, SimulatedWorker &worker);
    void endRuns();
    void step();

    OwnerLoad load_;
    std::mt19937_64 random_;
    std::mt19937_64 accountRandom_;  // apart, so that the jobs are the same without accounts
    engine::Engine engine_;
    TimePoint now_ = timePoint(1'000'000);
    TimePoint begunAt_ = now_;
    std::map<engine::WorkerIncarnation, SimulatedWorker> workers_;
    std::vector<double> due_;  // fractions of jobs that have arrived, by service
    std::optional<engine::Batch> writing_;
    TimePoint writtenAt_{};
    std::int64_t nextJob_ = 1;
    std::int64_t tasksDone_ = 0;
    Milliseconds reportDelays_{0};
    PollCounts polls_;
    pools::Pools pools_;
    std::array<PartCost, ownerParts> costs_{};
};

}  // namespace poplarstream::bench
