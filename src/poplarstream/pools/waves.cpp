#include "poplarstream/pools/waves.hpp"

#include <algorithm>  // for max, sort
#include <cmath>  // for ceil
#include <tuple>  // for tuple

#include "poplarstream/engine/attempts.hpp"  // for stepOf

namespace poplarstream::pools {

namespace {

// Machines of one pool that are emptied or away for upkeep at once, where that is enough to be in
// time: the rest has to carry the work.
constexpr int emptiedPerPool = 2;
// Long-running tasks leave one by one, which takes long: machines that host some are emptied from
// the start, so many of a pool at once beside the others.
constexpr int hostsEmptiedPerPool = 2;
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
    return view.pending && view.pending->order.kind == MachineOrder::Kind::Upkeep
           && view.pending->order.wave == wave;
}

// Whether the machine is in upkeep, or an earlier owner may have just sent it there.
bool mayBeAway(const Pools &pools, const WaveView &wave, const MachineView &view, TimePoint now)
{
    const MachineId &id = view.machine.id;
    const auto rest = pools.restsUntil.find(id);
    return wave.away.contains(id) || view.machine.state == MachineState::InUpkeep
           || (rest != pools.restsUntil.end() && rest->second > now);
}

// How many machines of a pool have to be away at once so that `left` are done in time.
int emptiedAtOnce(const engine::Engine &engine, const WaveView &wave, int left, TimePoint now)
{
    const Milliseconds each = engine.limits.maintenance + emptying;
    const auto aimed = static_cast<double>(wave.wave.duration.count()) * aimedShare;
    const TimePoint doneBy = wave.seenAt + Milliseconds(static_cast<std::int64_t>(aimed));
    const Milliseconds remaining = std::max(doneBy - now, each);
    const double needed = static_cast<double>(left) * static_cast<double>(each.count())
                          / static_cast<double>(remaining.count());
    return std::max(emptiedPerPool, static_cast<int>(std::ceil(needed)));
}

void planWave(Pools &pools, engine::Engine &engine, WaveView &wave, TimePoint now)
{
    int away = 0;
    std::map<ServiceId, int> emptied;
    std::map<ServiceId, int> hostsEmptied;
    std::map<ServiceId, int> left;
    std::vector<Choice> choices;
    WaveProgress progress;
    for (const MachineId &id : wave.wave.machines) {
        const auto found = pools.machines.find(id);
        if (found == pools.machines.end()) {
            continue;
        }
        MachineView &view = found->second;
        const bool isDue = !wave.begun.contains(id);
        left[view.machine.pool] += isDue ? 1 : 0;
        progress.left += isDue ? 1 : 0;
        if (engine::Worker *const worker = workerOf(engine, view.machine)) {
            worker->isDueForUpkeep = isDue;
        }
        if (isForWave(view, wave.wave.number) || mayBeAway(pools, wave, view, now)) {
            const bool isHost = choiceOf(engine, view).lasting > 0;
            ++(isHost ? hostsEmptied : emptied)[view.machine.pool];
            ++away;
            progress.hosts += isHost ? 1 : 0;
            const bool isOldest =
                    progress.oldest.isEmpty()
                    || (view.pending && view.pending->decidedAt < progress.oldestSince);
            if (view.pending && isOldest) {
                progress.oldest = id;
                progress.oldestSince = view.pending->decidedAt;
            }
        } else if (!wave.begun.contains(id) && !view.pending && view.restsUntil <= now
                   && view.machine.state == MachineState::Up) {
            choices.push_back(choiceOf(engine, view));
        } else {
            progress.notUp += isDue ? 1 : 0;
        }
    }
    std::sort(choices.begin(), choices.end(),
              [](const Choice &a, const Choice &b) { return a.rank() < b.rank(); });
    for (const Choice &choice : choices) {
        const Machine &machine = choice.view->machine;
        const auto service = engine.services.find(machine.pool);
        const bool isStandby = service != engine.services.end() && service->second.isStandby;
        const bool isHost = choice.lasting > 0;
        int &taken = (isHost ? hostsEmptied : emptied)[machine.pool];
        const int atOnce =
                isHost ? hostsEmptiedPerPool : emptiedAtOnce(engine, wave, left[machine.pool], now);
        if (away >= wave.wave.cap || (!isStandby && taken >= atOnce)) {
            continue;
        }
        MachineOrder order;
        order.kind = MachineOrder::Kind::Upkeep;
        order.machine = machine.id;
        order.wave = wave.wave.number;
        order.holder = pools.holder;
        order.fencingToken = pools.fencingToken;
        choice.view->pending = PendingOrder{std::move(order), now};
        ++away;
        ++taken;
    }
    progress.away = away;
    wave.progress = std::move(progress);
}

}  // namespace

void planUpkeep(Pools &pools, engine::Engine &engine, TimePoint now)
{
    for (auto &[number, wave] : pools.waves) {
        if (!wave.isCompleted) {
            planWave(pools, engine, wave, now);
        }
    }
}

}  // namespace poplarstream::pools
