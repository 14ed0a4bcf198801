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

}  // namespace
}  // namespace poplarstream::bench
