#include <array>  // for array
#include <string>  // for string

#include <benchmark/benchmark.h>  // for State, BENCHMARK

#include "owner_world.hpp"  // for OwnerWorld, OwnerLoad

namespace poplarstream::bench {
namespace {

// Processor time of the owner's decisions for one task, without sending and receiving. Includes the
// simulated workers, which take a small part of it.
void decisionsPerTask(benchmark::State &state)
{
    OwnerLoad load;
    load.workersPerService = static_cast<int>(state.range(0));
    load.jobsPerSecond = static_cast<double>(state.range(1));
    OwnerWorld world(load, 1);
    world.run(Milliseconds{2000});
    const std::int64_t before = world.tasksDone();
    for (auto _ : state) {
        world.run(Milliseconds{1000});
    }
    const auto tasks = static_cast<double>(world.tasksDone() - before);
    state.counters["time_per_task"] =
            benchmark::Counter(tasks, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
    state.counters["tasks"] = tasks / static_cast<double>(state.iterations());
}

// 920 workers with room for all, and a twentieth of them, so that most jobs wait.
BENCHMARK(decisionsPerTask)
        ->Args({230, 165})
        ->Args({12, 165})
        ->Iterations(20)
        ->Unit(benchmark::kMillisecond);

// In the order of OwnerPart.
constexpr std::array<const char *, ownerParts> partNames = {
        "plan", "health", "jobs", "polls", "responses", "encode", "stored", "machines"};

// A fleet at the limit of its owner: 1,100 workers that each run a long-running task and have room
// for two more tasks, 1,300 tasks a second, and turns that leave most jobs waiting. Shows the
// microseconds of each kind of work for one task, the responses to polls for one task, and the
// share of active jobs that wait. Without accounts and with as many as a large deployment has.
void overloadedFleet(benchmark::State &state)
{
    OwnerLoad load;
    load.workersPerService = 275;
    load.jobsPerSecond = 102;
    load.turn = Milliseconds{9000};
    load.longRunningNeed = {46'000, 32'000, 0};
    load.planInterval = Milliseconds{60};
    load.tickInterval = Milliseconds{100};
    load.storeDelay = Milliseconds{120};
    load.hasMachines = true;
    load.accounts = static_cast<int>(state.range(0));
    OwnerWorld world(load, 1);
    world.run(Milliseconds{4000});
    const std::int64_t tasksBefore = world.tasksDone();
    const PollCounts pollsBefore = world.polls();
    std::array<PartCost, ownerParts> costsBefore;
    for (std::size_t i = 0; i < ownerParts; ++i) {
        costsBefore[i] = world.cost(static_cast<OwnerPart>(i));
    }
    double waitingShare = 0;
    for (auto _ : state) {
        world.run(Milliseconds{1000});
        waitingShare += static_cast<double>(world.engine().waiting.size())
                        / static_cast<double>(world.engine().active.size());
    }
    const auto tasks = static_cast<double>(world.tasksDone() - tasksBefore);
    const auto seconds = static_cast<double>(state.iterations());
    double all = 0;
    for (std::size_t i = 0; i < ownerParts; ++i) {
        const PartCost cost = world.cost(static_cast<OwnerPart>(i));
        const double spent =
                std::chrono::duration<double, std::micro>(cost.spent - costsBefore[i].spent)
                        .count();
        all += spent;
        state.counters[std::string("us_per_task_") + partNames[i]] = spent / tasks;
        state.counters[std::string("us_per_call_") + partNames[i]] =
                spent / static_cast<double>(cost.count - costsBefore[i].count);
    }
    state.counters["us_per_task"] = all / tasks;
    state.counters["tasks_per_second"] = tasks / seconds;
    state.counters["accounts_held"] = static_cast<double>(world.engine().capHolds.size());
    state.counters["waiting_share"] = waitingShare / seconds;
    const PollCounts &polls = world.polls();
    state.counters["polls_per_task"] =
            static_cast<double>(polls.total() - pollsBefore.total()) / tasks;
    state.counters["polls_with_ends_per_task"] =
            static_cast<double>(polls.withEnds - pollsBefore.withEnds) / tasks;
    state.counters["polls_repeated_per_task"] =
            static_cast<double>(polls.repeated - pollsBefore.repeated) / tasks;
    state.counters["report_delay_ms"] = static_cast<double>(world.meanReportDelay().count());
}

BENCHMARK(overloadedFleet)->Arg(0)->Arg(340)->Iterations(36)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace poplarstream::bench
