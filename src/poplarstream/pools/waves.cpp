#include "poplarstream/pools/waves.hpp"

#include <algorithm>  // for any_of, max, sort
#include <cmath>  // for ceil
#include <tuple>  // for tuple
#include <utility>  // for exchange

#include "poplarstream/engine/attempts.hpp"  // for findWorker, stepOf
#include "poplarstream/engine/evacuation.hpp"  // for stopShortTasks

namespace poplarstream::pools {

namespace {

// A long-running host is a machine that hosts at least one long-running task.

// Machines of one pool out of service at the same time, unless the wave needs more to be done in
// time: the others have to run the pool's work.
constexpr int outOfServicePerPool = 2;
// Long-running tasks move off one by one, which takes long, so long-running hosts are drained from
// the start of a wave, this many of a pool in addition to the other machines.
constexpr int longRunningHostsPerPool = 2;
// Draining a long-running host takes 3 to 6 s, as few tasks of a step may be stopped at once.
constexpr Milliseconds longRunningDrainTime{4500};
// Short tasks run for about a second; any other machine takes about as long to drain.
constexpr Milliseconds drainTime{1500};
// From the last task of a machine until its maintenance has begun: the end has to be reported and
// stored, and the ownership to be renewed.
constexpr Milliseconds commandTime{1000};
// A wave aims to be done after this share of its duration, to leave time for lost machines and
// changes of the owner.
constexpr double targetDurationShare = 0.7;

struct Candidate
{
    MachineView *view = nullptr;
    int longRunning = 0;  // tasks that have to move to another worker
    std::size_t running = 0;

    auto rank() const { return std::make_tuple(longRunning, running, view->machine.id); }
};

Candidate candidateOf(engine::Engine &engine, MachineView &view)
{
    Candidate candidate{&view};
    if (const engine::Worker *const worker = workerOf(engine, view.machine)) {
        candidate.running = worker->attempts.size();
        for (const auto &[ref, settledBy] : worker->attempts) {
            const jobs::Job &job = engine.jobs.at(ref.task.job);
            candidate.longRunning += engine::stepOf(job, ref.task).longRunning ? 1 : 0;
        }
    }
    return candidate;
}

bool isPendingForWave(const MachineView &view, std::int64_t wave)
{
    return view.pending && view.pending->command.kind == MachineCommand::Kind::Maintenance
           && view.pending->command.wave == wave;
}

// Whether the machine is in maintenance, or a previous owner may just have sent it there.
bool mayBeInMaintenance(const Pools &pools, const WaveView &wave, const MachineView &view,
                        TimePoint now)
{
    const MachineId &id = view.machine.id;
    const auto cooldown = pools.cooldownUntil.find(id);
    return wave.inMaintenance.contains(id) || view.machine.state == MachineState::InMaintenance
           || (cooldown != pools.cooldownUntil.end() && cooldown->second > now);
}

// The machines of a wave in one pool.
struct PoolShare
{
    int remaining = 0;  // maintenance has not begun
    int outOfService = 0;  // in maintenance or draining for it, without long-running hosts
    int longRunningRemaining = 0;  // the long-running hosts among `remaining`
    int longRunningOutOfService = 0;  // long-running hosts that are draining
};

// The state of a wave, and the machines that may be drained next.
struct WaveSurvey
{
    std::map<ServiceId, PoolShare> pools;
    std::vector<Candidate> candidates;
    WaveProgress progress;
};

void recordOutOfService(WaveProgress &progress, engine::Engine &engine, const MachineView &view,
                        bool isLongRunningHost)
{
    ++progress.outOfService;
    progress.longRunningHosts += isLongRunningHost ? 1 : 0;
    const bool isLongestDraining = view.pending
                                   && (progress.longestDraining.isEmpty()
                                       || view.pending->decidedAt < progress.longestDrainingSince);
    if (isLongestDraining) {
        progress.longestDraining = view.machine.id;
        progress.longestDrainingSince = view.pending->decidedAt;
        const engine::Worker *const worker = workerOf(engine, view.machine);
        progress.longestDrainingHold = worker ? worker->heldBy : std::nullopt;
    }
}

void surveyMachine(WaveSurvey &result, Pools &pools, engine::Engine &engine, const WaveView &wave,
                   MachineView &view, TimePoint now)
{
    const bool isDue = !wave.begun.contains(view.machine.id);
    const Candidate candidate = candidateOf(engine, view);
    const bool isLongRunningHost = candidate.longRunning > 0;
    PoolShare &share = result.pools[view.machine.pool];
    share.remaining += isDue ? 1 : 0;
    share.longRunningRemaining += isDue && isLongRunningHost ? 1 : 0;
    result.progress.remaining += isDue ? 1 : 0;
    view.isDueForMaintenance = view.isDueForMaintenance || isDue;
    if (isPendingForWave(view, wave.wave.number) || mayBeInMaintenance(pools, wave, view, now)) {
        ++(isLongRunningHost ? share.longRunningOutOfService : share.outOfService);
        recordOutOfService(result.progress, engine, view, isLongRunningHost);
    } else if (isDue && !view.pending && view.cooldownUntil <= now
               && view.machine.state == MachineState::Up) {
        result.candidates.push_back(candidate);
    } else {
        result.progress.blocked += isDue ? 1 : 0;
    }
}

// Until when a machine may wait for its tasks if its maintenance is to be over in time.
TimePoint latestDrain(const engine::Engine &engine, const WaveView &wave)
{
    const engine::EngineLimits &limits = engine.limits;
    return wave.seenAt + wave.wave.duration - limits.maintenance - commandTime - limits.stopTimeout;
}

// Stops what still runs on the draining machines of a wave once it would make the wave late. One
// task that takes many times its estimate would otherwise hold up its machine for as long.
void stopLateTasks(Pools &pools, engine::Engine &engine, const WaveView &wave, TimePoint now)
{
    if (now < latestDrain(engine, wave)) {
        return;
    }
    for (const MachineId &id : wave.wave.machines) {
        const auto found = pools.machines.find(id);
        if (found == pools.machines.end() || !isPendingForWave(found->second, wave.wave.number)) {
            continue;
        }
        if (const engine::Worker *const worker = workerOf(engine, found->second.machine)) {
            engine::stopShortTasks(engine, *worker, now);
        }
    }
}

// How many machines have to be out of service at the same time to finish all of `machines` in time,
// if each machine takes `each`.
int concurrencyNeeded(const WaveView &wave, int machines, Milliseconds each, TimePoint now)
{
    const auto targetMs = static_cast<double>(wave.wave.duration.count()) * targetDurationShare;
    const TimePoint targetTime = wave.seenAt + Milliseconds(static_cast<std::int64_t>(targetMs));
    const Milliseconds remaining = std::max(targetTime - now, each);
    const double needed = static_cast<double>(machines) * static_cast<double>(each.count())
                          / static_cast<double>(remaining.count());
    return static_cast<int>(std::ceil(needed));
}

// Whether one more machine of the pool may be drained now.
bool mayDrain(const engine::Engine &engine, const WaveView &wave, const PoolShare &share,
              bool isLongRunningHost, TimePoint now)
{
    const Milliseconds maintenance = engine.limits.maintenance;
    if (isLongRunningHost) {
        const int needed = concurrencyNeeded(wave, share.longRunningRemaining,
                                             maintenance + longRunningDrainTime, now);
        return share.longRunningOutOfService < std::max(longRunningHostsPerPool, needed);
    }
    const int needed = concurrencyNeeded(wave, share.remaining, maintenance + drainTime, now);
    return share.outOfService < std::max(outOfServicePerPool, needed);
}

// Whether a pool needs more machines than it has.
bool isCapacityShort(const Pools &pools)
{
    return std::any_of(pools.needs.begin(), pools.needs.end(),
                       [](const auto &each) { return each.second.present < each.second.target; });
}

void commandMaintenance(const Pools &pools, MachineView &view, std::int64_t wave, TimePoint now)
{
    MachineCommand command;
    command.kind = MachineCommand::Kind::Maintenance;
    command.machine = view.machine.id;
    command.wave = wave;
    command.holder = pools.holder;
    command.fencingToken = pools.fencingToken;
    view.pending = PendingCommand{std::move(command), now};
}

void planWave(Pools &pools, engine::Engine &engine, WaveView &wave, TimePoint now)
{
    WaveSurvey result;
    for (const MachineId &id : wave.wave.machines) {
        const auto found = pools.machines.find(id);
        if (found != pools.machines.end()) {
            surveyMachine(result, pools, engine, wave, found->second, now);
        }
    }
    std::sort(result.candidates.begin(), result.candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.rank() < b.rank(); });
    const bool isStandbyIdle = !isCapacityShort(pools);
    for (const Candidate &candidate : result.candidates) {
        if (result.progress.outOfService >= wave.wave.cap) {
            break;
        }
        const ServiceId &pool = candidate.view->machine.pool;
        const auto service = engine.services.find(pool);
        const bool isIdle =
                isStandbyIdle && service != engine.services.end() && service->second.isStandby;
        const bool isLongRunningHost = candidate.longRunning > 0;
        PoolShare &share = result.pools[pool];
        if (isIdle || mayDrain(engine, wave, share, isLongRunningHost, now)) {
            commandMaintenance(pools, *candidate.view, wave.wave.number, now);
            ++result.progress.outOfService;
            ++(isLongRunningHost ? share.longRunningOutOfService : share.outOfService);
        }
    }
    wave.progress = std::move(result.progress);
}

// Marks the workers of the machines that are due. Looks up only these and those marked before,
// since a fleet has many machines and few of them are due.
void markWorkers(Pools &pools, engine::Engine &engine)
{
    for (const jobs::WorkerIncarnation &incarnation : std::exchange(pools.markedWorkers, {})) {
        if (engine::Worker *const worker = engine::findWorker(engine, incarnation)) {
            worker->isDueForMaintenance = false;
        }
    }
    for (const auto &[id, view] : pools.machines) {
        if (!view.isDueForMaintenance) {
            continue;
        }
        if (engine::Worker *const worker = workerOf(engine, view.machine)) {
            worker->isDueForMaintenance = true;
            pools.markedWorkers.push_back(worker->entry.incarnation);
        }
    }
}

}  // namespace

void planMaintenance(Pools &pools, engine::Engine &engine, TimePoint now)
{
    for (auto &[id, view] : pools.machines) {
        view.isDueForMaintenance = false;
    }
    for (auto &[number, wave] : pools.waves) {
        if (!wave.isCompleted) {
            planWave(pools, engine, wave, now);
            stopLateTasks(pools, engine, wave, now);
        }
    }
    markWorkers(pools, engine);
}

}  // namespace poplarstream::pools
