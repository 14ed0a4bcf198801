#include "poplarstream/pools/waves.hpp"

#include <algorithm>  // for any_of, max, sort
#include <cmath>  // for ceil
#include <tuple>  // for tuple

#include "poplarstream/engine/attempts.hpp"  // for stepOf

namespace poplarstream::pools {

namespace {

// Machines of one pool that are emptied or outOfService for upkeep at once, where that is enough to
// be in time: the rest has to carry the work.
constexpr int emptiedPerPool = 2;
// Long-running tasks leave one by one, which takes long: machines that host some are emptied from
// the start, so many of a pool at once beside the others.
constexpr int hostsEmptiedPerPool = 2;
// Emptying a host took 3 to 6 s on the recorded days: few tasks of a step may be outOfService at
// once.
constexpr Milliseconds emptyingHost{4500};
// Short tasks run about a second; a machine of the wave is emptied for as long before its upkeep.
constexpr Milliseconds emptying{1500};
// A wave aims to be done after this share of its time, as machines are lost and owners change.
constexpr double aimedShare = 0.7;

struct Choice
{
    MachineView *view = nullptr;
    int lasting = 0;  // tasks that have to move
    std::size_t running = 0;

    auto rank() const { return std::make_tuple(lasting, running, view->machine.id); }
};

Choice choiceOf(engine::Engine &engine, MachineView &view)
{
    Choice choice{&view};
    if (const engine::Worker *const worker = workerOf(engine, view.machine)) {
        choice.running = worker->attempts.size();
        for (const auto &[ref, settledBy] : worker->attempts) {
            const jobs::Job &job = engine.jobs.at(ref.task.job);
            choice.lasting += engine::stepOf(job, ref.task).longRunning ? 1 : 0;
        }
    }
    return choice;
}

bool isForWave(const MachineView &view, std::int64_t wave)
{
    return view.pending && view.pending->order.kind == MachineCommand::Kind::Maintenance
           && view.pending->order.wave == wave;
}

// Whether the machine is in upkeep, or an earlier owner may have just sent it there.
bool mayBeAway(const Pools &pools, const WaveView &wave, const MachineView &view, TimePoint now)
{
    const MachineId &id = view.machine.id;
    const auto rest = pools.cooldownUntil.find(id);
    return wave.outOfService.contains(id) || view.machine.state == MachineState::InMaintenance
           || (rest != pools.cooldownUntil.end() && rest->second > now);
}

// How the machines of a wave are spread over a pool.
struct PoolShare
{
    int remaining = 0;  // whose upkeep has not begun
    int emptied = 0;  // in upkeep, or being emptied for it
    int hostsLeft = 0;  // the same of those that host long-running tasks
    int hostsEmptied = 0;
};

// Where a wave stands, and which machines may go next.
struct Survey
{
    std::map<ServiceId, PoolShare> pools;
    std::vector<Choice> choices;
    WaveProgress progress;
};

void noteBeingEmptied(WaveProgress &progress, engine::Engine &engine, const MachineView &view,
                      bool isHost)
{
    ++progress.outOfService;
    progress.longRunningHosts += isHost ? 1 : 0;
    const bool isOldest = view.pending
                          && (progress.longestDraining.isEmpty()
                              || view.pending->decidedAt < progress.longestDrainingSince);
    if (isOldest) {
        progress.longestDraining = view.machine.id;
        progress.longestDrainingSince = view.pending->decidedAt;
        const engine::Worker *const worker = workerOf(engine, view.machine);
        progress.longestDrainingHold = worker ? worker->heldBy : std::nullopt;
    }
}

void survey(Survey &result, Pools &pools, engine::Engine &engine, const WaveView &wave,
            MachineView &view, TimePoint now)
{
    const bool isDue = !wave.begun.contains(view.machine.id);
    const Choice choice = choiceOf(engine, view);
    const bool isHost = choice.lasting > 0;
    PoolShare &share = result.pools[view.machine.pool];
    share.remaining += isDue ? 1 : 0;
    share.hostsLeft += isDue && isHost ? 1 : 0;
    result.progress.remaining += isDue ? 1 : 0;
    view.isDueForMaintenance = view.isDueForMaintenance || isDue;
    if (isForWave(view, wave.wave.number) || mayBeAway(pools, wave, view, now)) {
        ++(isHost ? share.hostsEmptied : share.emptied);
        noteBeingEmptied(result.progress, engine, view, isHost);
    } else if (isDue && !view.pending && view.cooldownUntil <= now
               && view.machine.state == MachineState::Up) {
        result.choices.push_back(choice);
    } else {
        result.progress.blocked += isDue ? 1 : 0;
    }
}

// How many machines have to be outOfService at once so that `remaining` are done in time, each
// outOfService for `each`.
int neededAtOnce(const WaveView &wave, int machines, Milliseconds each, TimePoint now)
{
    const auto aimed = static_cast<double>(wave.wave.duration.count()) * aimedShare;
    const TimePoint doneBy = wave.seenAt + Milliseconds(static_cast<std::int64_t>(aimed));
    const Milliseconds remaining = std::max(doneBy - now, each);
    const double needed = static_cast<double>(machines) * static_cast<double>(each.count())
                          / static_cast<double>(remaining.count());
    return static_cast<int>(std::ceil(needed));
}

// Whether one more machine of the pool may be emptied now.
bool hasTurn(const engine::Engine &engine, const WaveView &wave, const PoolShare &share,
             bool isHost, TimePoint now)
{
    const Milliseconds outOfService = engine.limits.maintenance;
    if (isHost) {
        const int needed = neededAtOnce(wave, share.hostsLeft, outOfService + emptyingHost, now);
        return share.hostsEmptied < std::max(hostsEmptiedPerPool, needed);
    }
    const int needed = neededAtOnce(wave, share.remaining, outOfService + emptying, now);
    return share.emptied < std::max(emptiedPerPool, needed);
}

// Whether the work asks for more machines than there are.
bool isShort(const Pools &pools)
{
    return std::any_of(pools.needs.begin(), pools.needs.end(),
                       [](const auto &each) { return each.second.present < each.second.target; });
}

void orderUpkeep(const Pools &pools, MachineView &view, std::int64_t wave, TimePoint now)
{
    MachineCommand order;
    order.kind = MachineCommand::Kind::Maintenance;
    order.machine = view.machine.id;
    order.wave = wave;
    order.holder = pools.holder;
    order.fencingToken = pools.fencingToken;
    view.pending = PendingCommand{std::move(order), now};
}

void planWave(Pools &pools, engine::Engine &engine, WaveView &wave, TimePoint now)
{
    Survey result;
    for (const MachineId &id : wave.wave.machines) {
        const auto found = pools.machines.find(id);
        if (found != pools.machines.end()) {
            survey(result, pools, engine, wave, found->second, now);
        }
    }
    std::sort(result.choices.begin(), result.choices.end(),
              [](const Choice &a, const Choice &b) { return a.rank() < b.rank(); });
    const bool isStandbyIdle = !isShort(pools);
    for (const Choice &choice : result.choices) {
        if (result.progress.outOfService >= wave.wave.cap) {
            break;
        }
        const ServiceId &pool = choice.view->machine.pool;
        const auto service = engine.services.find(pool);
        const bool isIdle =
                isStandbyIdle && service != engine.services.end() && service->second.isStandby;
        const bool isHost = choice.lasting > 0;
        PoolShare &share = result.pools[pool];
        if (isIdle || hasTurn(engine, wave, share, isHost, now)) {
            orderUpkeep(pools, *choice.view, wave.wave.number, now);
            ++result.progress.outOfService;
            ++(isHost ? share.hostsEmptied : share.emptied);
        }
    }
    wave.progress = std::move(result.progress);
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
        }
    }
    for (auto &[id, view] : pools.machines) {
        if (engine::Worker *const worker = workerOf(engine, view.machine)) {
            worker->isDueForMaintenance = view.isDueForMaintenance;
        }
    }
}

}  // namespace poplarstream::pools
