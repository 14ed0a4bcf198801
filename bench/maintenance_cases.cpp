#include "maintenance_cases.hpp"

#include <fmt/format.h>  // for format

#include <algorithm>  // for max

#include "lower_bound.hpp"  // for rolloutLowerBound
#include "wave_world.hpp"  // for runWaves, runNaively

namespace poplarstream::bench {
namespace {

using namespace maintenance;
using std::chrono::seconds;

struct Layout
{
    int hosts = 50;
    int pools = 6;  // the last one is the spare pool
    int zones = 3;
    int perRack = 4;
    std::uint32_t maxAway = 2;
    bool hasRackHeadroom = false;
    Weights weights;
};

// Hosts of a pool are spread over the racks, as far as there are racks.
fake::Fleet fleetOf(const Layout &layout, std::uint64_t seed)
{
    Random random(seed);
    fake::Fleet fleet;
    fleet.now = timePoint(1'000'000'000);
    for (int p = 0; p < layout.pools; ++p) {
        PoolView pool;
        pool.id = PoolId(fmt::format("pool-{:02}", p));
        pool.maxAway = layout.maxAway;
        pool.isSpare = p + 1 == layout.pools;
        fleet.view.pools.push_back(pool);
    }
    for (int i = 0; i < layout.hosts; ++i) {
        HostView host;
        host.id = HostId(fmt::format("host-{:04}", i));
        host.pool = PoolId(fmt::format("pool-{:02}", i % layout.pools));
        host.rack = RackId(fmt::format("rack-{:04}", i / layout.perRack));
        host.zone = ZoneId(fmt::format("zone-{:02}", i / layout.perRack % layout.zones));
        fake::Machine machine;
        machine.drainTime = seconds(30 + random.below(570));
        machine.rebootTime = seconds(270 + random.below(60));
        // The expected time is off by up to two times; the planner sees nothing better.
        host.remainingWork = Milliseconds{static_cast<std::int64_t>(
                static_cast<double>(machine.drainTime.count()) * (0.5 + 1.5 * random.unit()))};
        fleet.view.hosts.push_back(host);
        fleet.machines.push_back(machine);
    }
    fleet.view.weights = layout.weights;
    fleet.view.hasRackHeadroom = layout.hasRackHeadroom;
    fleet.view.mayLend = true;
    return fleet;
}

WaveView waveOf(const std::string &id, AbsenceKind action, const fake::Fleet &fleet)
{
    WaveView wave;
    wave.id = WaveId(id);
    wave.action = action;
    for (const PoolView &pool : fleet.view.pools) {
        wave.pools.push_back(pool.id);
    }
    return wave;
}

// Counts from the machines and budgets, without the views that the planner makes of them.
double lowerBoundOf(const fake::Fleet &fleet)
{
    std::vector<NeededAbsence> absences;
    for (std::size_t i = 0; i < fleet.machines.size(); ++i) {
        NeededAbsence absence;
        const std::string &pool = fleet.view.hosts[i].pool.text();
        absence.pools = {pool};
        Milliseconds length = fleet.machines[i].drainTime;
        bool isNeeded = false;
        for (const WaveView &wave : fleet.view.waves) {
            const bool isNamed =
                    std::find(wave.pools.begin(), wave.pools.end(), fleet.view.hosts[i].pool)
                    != wave.pools.end();
            if (isNamed && hasReboot(wave.action)) {
                length += fleet.machines[i].rebootTime;
                isNeeded = true;
            }
            if (isNamed && hasMove(wave.action)) {
                absence.pools.push_back(wave.target.text());
                isNeeded = true;
            }
        }
        absence.seconds = static_cast<double>(length.count()) / 1000;
        if (isNeeded) {
            absences.push_back(absence);
        }
    }
    std::map<std::string, std::uint32_t> width;
    for (const PoolView &pool : fleet.view.pools) {
        width[pool.id.text()] = pool.maxAway;
    }
    return rolloutLowerBound(absences, width);
}

MeasureLine quantity(const std::string &name, std::uint64_t seed, const std::string &what,
                     const std::string &unit, const std::string &better, double naive, double now,
                     std::optional<double> target)
{
    MeasureLine line;
    line.caseName = name;
    line.quantity = what;
    line.unit = unit;
    line.better = better;
    line.naive = naive;
    line.now = now;
    line.target = target;
    line.seed = seed;
    return line;
}

// Work that was cut off and uncounted absences are violations of the same check.
MeasureLine promise(const std::string &name, std::uint64_t seed, const WaveRun &run)
{
    MeasureLine line;
    line.caseName = name;
    line.promise = "availability-budget";
    line.checked = run.checks;
    line.violations = run.violations + (run.isComplete ? 0 : 1);
    line.seed = seed;
    return line;
}

double ratio(double a, double b)
{
    return b > 0 ? a / b : 0;
}

constexpr int bound = 40 * 3'600;

std::vector<MeasureLine> measureDeployment(const std::string &name, std::uint64_t seed,
                                           const fake::Fleet &fleet, std::uint32_t fewestMoves)
{
    const UrgentLoad load{0.25};
    const double lower = lowerBoundOf(fleet);
    const WaveRun run = runWaves(fleet, load, {}, 1, bound, seed);
    const WaveRun naive = runNaively(fleet, load);
    const WaveRun alone = runWithoutWaves(fleet, load, static_cast<int>(run.rollout) + 1);
    const WaveRun aloneNaive = runWithoutWaves(fleet, load, static_cast<int>(naive.rollout));
    return {quantity(name, seed, "rollout-over-lower-bound", "ratio", "lower",
                     ratio(naive.rollout, lower), ratio(run.rollout, lower), 1.15),
            quantity(name, seed, "moves-over-fewest", "ratio", "lower",
                     ratio(naive.moves, fewestMoves), ratio(run.moves, fewestMoves), 1.05),
            quantity(name, seed, "urgent-on-time", "ratio", "higher",
                     ratio(naive.onTime, aloneNaive.onTime), ratio(run.onTime, alone.onTime), 0.99),
            quantity(name, seed, "rollout", "s", "lower", naive.rollout, run.rollout, std::nullopt),
            quantity(name, seed, "refused-requests", "records", "lower", 0,
                     static_cast<double>(run.refusedRequests), std::nullopt),
            promise(name, seed, run)};
}

// All pools are rebooted, and the hosts of one pool move to another.
fake::Fleet vanHarselaar(std::uint64_t seed)
{
    Layout layout;
    layout.weights = {3, 3, 1};
    fake::Fleet fleet = fleetOf(layout, seed);
    fleet.view.waves = {waveOf("kernel", AbsenceKind::Reboot, fleet),
                        waveOf("merge", AbsenceKind::Move, fleet)};
    fleet.view.waves[1].pools = {fleet.view.pools[0].id};
    fleet.view.waves[1].target = fleet.view.pools[1].id;
    return fleet;
}

// As van-harselaar, in 4 zones and with most weight on other work during a flood.
fake::Fleet exLibris(std::uint64_t seed)
{
    Layout layout;
    layout.zones = 4;
    layout.weights = {1, 1, 5};
    fake::Fleet fleet = fleetOf(layout, seed + 1'000);
    fleet.view.waves = {waveOf("firmware", AbsenceKind::Reboot, fleet),
                        waveOf("merge", AbsenceKind::Move, fleet)};
    fleet.view.waves[1].pools = {fleet.view.pools[0].id};
    fleet.view.waves[1].target = fleet.view.pools[1].id;
    return fleet;
}

// All pools are rebooted with headroom for a rack; no rack has two hosts of a pool.
fake::Fleet withHeadroom(std::uint64_t seed)
{
    Layout layout;
    layout.maxAway = 3;
    layout.hasRackHeadroom = true;
    fake::Fleet fleet = fleetOf(layout, seed);
    fleet.view.waves = {waveOf("kernel", AbsenceKind::Reboot, fleet)};
    return fleet;
}

std::uint32_t hostsIn(const fake::Fleet &fleet, const PoolId &pool)
{
    std::uint32_t count = 0;
    for (const HostView &host : fleet.view.hosts) {
        count += host.pool == pool ? 1 : 0;
    }
    return count;
}

std::vector<MeasureLine> measureDisturbed(const std::string &name, std::uint64_t seed,
                                          const fake::Fleet &fleet, const Disturbance &disturbance)
{
    const WaveRun calm = runWaves(fleet, {}, {}, 1, bound, seed);
    const WaveRun run = runWaves(fleet, {}, disturbance, 1, bound, seed);
    const WaveRun naive = runNaively(fleet, {});
    return {quantity(name, seed, "rollout-over-undisturbed", "ratio", "lower",
                     ratio(naive.rollout, calm.rollout), ratio(run.rollout, calm.rollout), 1.5),
            promise(name, seed, run)};
}

}  // namespace

std::vector<MeasureLine> measureWaveVanHarselaar(std::uint64_t seed)
{
    const fake::Fleet fleet = vanHarselaar(seed);
    return measureDeployment("wave-van-harselaar", seed, fleet,
                             hostsIn(fleet, fleet.view.pools[0].id));
}

std::vector<MeasureLine> measureWaveExLibris(std::uint64_t seed)
{
    const fake::Fleet fleet = exLibris(seed);
    return measureDeployment("wave-ex-libris", seed, fleet, hostsIn(fleet, fleet.view.pools[0].id));
}

std::vector<MeasureLine> measureWaveWithRackLoss(std::uint64_t seed)
{
    Disturbance disturbance;
    disturbance.rackLostAt = 1'200;
    disturbance.rackBackAfter = 1'800;
    return measureDisturbed("wave-with-rack-loss", seed, withHeadroom(seed), disturbance);
}

std::vector<MeasureLine> measureWaveWithLogOutage(std::uint64_t seed)
{
    Disturbance disturbance;
    disturbance.logAwayAt = 1'200;
    disturbance.logAwayFor = 900;
    return measureDisturbed("wave-with-log-outage", seed, vanHarselaar(seed), disturbance);
}

std::vector<MeasureLine> measureWaveTwoYearSize(std::uint64_t seed)
{
    const std::string name = "two-year-size";
    Layout layout;
    layout.hosts = 4'500;
    layout.pools = 20;
    layout.zones = 15;
    layout.maxAway = 11;  // 5% of 225
    fake::Fleet fleet = fleetOf(layout, seed);
    fleet.view.waves = {waveOf("five-weeks", AbsenceKind::Reboot, fleet)};
    Disturbance disturbance;
    disturbance.failuresPerDay = 28;
    const double lower = lowerBoundOf(fleet);
    // A step each 5 s: the case checks the length of a roll-out of hours.
    const WaveRun run = runWaves(fleet, {}, disturbance, 5, bound, seed);
    const WaveRun naive = runNaively(fleet, {});
    constexpr double fiveWeeks = 35.0 * 86'400;
    return {quantity(name, seed, "wave-rollout-over-five-weeks", "ratio", "lower",
                     naive.rollout / fiveWeeks, run.rollout / fiveWeeks, 1),
            quantity(name, seed, "wave-rollout-over-lower-bound", "ratio", "lower",
                     ratio(naive.rollout, lower), ratio(run.rollout, lower), 1.15),
            promise(name, seed, run)};
}

}  // namespace poplarstream::bench
