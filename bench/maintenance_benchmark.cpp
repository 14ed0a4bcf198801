#include <benchmark/benchmark.h>  // for BENCHMARK
#include <fmt/format.h>  // for format

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/maintenance/wave_plan.hpp"  // for planWaves
#include "poplarstream/maintenance/wave_step.hpp"  // for stepWaves

namespace poplarstream::maintenance {
namespace {

// 4,500 hosts in racks of four and zones of 300. With one pool instead of 20, all racks compete.
FleetView designSize(int pools, bool hasRackHeadroom, bool hasMoves)
{
    Random random(1);
    FleetView view;
    view.hasRackHeadroom = hasRackHeadroom;
    view.mayLend = true;
    WaveView wave;
    wave.id = WaveId("reboot");
    for (int p = 0; p < pools; ++p) {
        const PoolId id(fmt::format("pool-{:02}", p));
        const auto budget = static_cast<std::uint32_t>(4'500 / pools / 20 + 4);
        view.pools.push_back({id, budget, p + 1 == pools && pools > 1});
        wave.pools.push_back(id);
    }
    for (int i = 0; i < 4'500; ++i) {
        HostView host;
        host.id = HostId(fmt::format("host-{:04}", i));
        host.pool = PoolId(fmt::format("pool-{:02}", i % pools));
        host.rack = RackId(fmt::format("rack-{:04}", i / 4));
        host.zone = ZoneId(fmt::format("zone-{:02}", i / 300));
        host.remainingWork = std::chrono::seconds(random.below(900));
        view.hosts.push_back(host);
    }
    view.waves = {wave};
    if (hasMoves) {
        WaveView move = wave;
        move.id = WaveId("move");
        move.action = AbsenceKind::Move;
        move.pools = {view.pools[0].id, view.pools[1].id};
        move.target = view.pools[2].id;
        view.waves.insert(view.waves.begin(), move);
    }
    return view;
}

void plan(benchmark::State &state, int pools, bool hasRackHeadroom, bool hasMoves)
{
    const FleetView view = designSize(pools, hasRackHeadroom, hasMoves);
    for (auto _ : state) {
        benchmark::DoNotOptimize(planWaves(view, timePoint(0)));
    }
}

void step(benchmark::State &state)
{
    const FleetView view = designSize(20, false, false);
    std::vector<HostObservation> observations;
    for (const HostView &host : view.hosts) {
        HostObservation entry;
        entry.host = host.id;
        entry.hasProbeSucceeded = true;
        observations.push_back(entry);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(stepWaves({view, observations, {}, true, true, timePoint(0)}));
    }
}

BENCHMARK_CAPTURE(plan, pools20, 20, false, false)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(plan, pools20Headroom, 20, true, false)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(plan, pools20Moves, 20, false, true)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(plan, onePool, 1, false, false)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(plan, onePoolHeadroom, 1, true, false)->Unit(benchmark::kMillisecond);
BENCHMARK(step)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace poplarstream::maintenance

