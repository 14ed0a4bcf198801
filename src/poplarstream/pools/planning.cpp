#include "poplarstream/pools/planning.hpp"

#include <utility>  // for exchange

#include "poplarstream/engine/worker_events.hpp"  // for endIncarnation
#include "poplarstream/pools/forecast.hpp"  // for recordArrivals
#include "poplarstream/pools/moves.hpp"  // for planMoves
#include "poplarstream/pools/waves.hpp"  // for planMaintenance

namespace poplarstream::pools {

namespace {

// An order without an answer is repeated after this long; it is carried out at most once.
constexpr Milliseconds repeatAfter{1500};

// A machine that is not up is asked again after this time.
constexpr Milliseconds restAfterRefusal{1000};

void cordon(engine::Engine &engine, const Machine &machine, bool isCordoned)
{
    engine::Worker *const worker = workerOf(engine, machine);
    if (worker != nullptr && worker->isCordoned != isCordoned) {
        worker->isCordoned = isCordoned;
        engine.needsPlan = true;
    }
}

// A worker is one life of a machine: one that does not answer, and that no machine of a newer list
// has, is over. A successor would otherwise wait for the longest lease of its predecessor.
void endLivesWithoutMachine(engine::Engine &engine, const std::vector<Machine> &machines,
                            TimePoint askedAt, TimePoint now)
{
    std::set<jobs::WorkerId> present;
    for (const Machine &machine : machines) {
        present.insert(machine.worker);
    }
    std::vector<jobs::WorkerIncarnation> over;
    for (const auto &[life, worker] : engine.workers) {
        if (worker.reachability != engine::Reachability::Reachable && worker.knownSince < askedAt
            && !worker.isGone && !present.contains(life.id)) {
            over.push_back(life);
        }
    }
    for (const jobs::WorkerIncarnation &life : over) {
        engine::endIncarnation(engine, life, now);
    }
}

bool isInOrder(const Machine &machine)
{
    return machine.state == MachineState::Up;
}

}  // namespace

void applyMachineList(Pools &pools, engine::Engine &engine, const std::vector<Machine> &machines,
                      TimePoint askedAt, TimePoint now)
{
    std::map<MachineId, MachineView> listed;
    for (const Machine &machine : machines) {
        MachineView view;
        if (const auto rest = pools.cooldownUntil.find(machine.id);
            rest != pools.cooldownUntil.end()) {
            view.cooldownUntil = rest->second;
        }
        if (const auto known = pools.machines.find(machine.id); known != pools.machines.end()) {
            view = std::move(known->second);
            const jobs::WorkerId &before = view.machine.worker;
            const auto life = engine.newestIncarnations.find(before);
            const bool hasNewLife = view.changedAt < askedAt && !machine.worker.isEmpty()
                                    && machine.worker != before;
            if (hasNewLife && life != engine.newestIncarnations.end()) {
                engine::endIncarnation(engine, life->second, now);
            }
        }
        // A list that was under way while an order was carried out may show the time before.
        if (view.changedAt < askedAt || view.changedAt == TimePoint{}) {
            view.machine = machine;
        }
        listed[machine.id] = std::move(view);
    }
    pools.machines = std::move(listed);
    endLivesWithoutMachine(engine, machines, askedAt, now);
    for (auto &[number, wave] : pools.waves) {
        std::erase_if(wave.outOfService, [&](const MachineId &id) {
            const auto found = pools.machines.find(id);
            return found == pools.machines.end() || isInOrder(found->second.machine);
        });
    }
}

void applyWave(Pools &pools, const Wave &wave, const std::set<MachineId> &begun, TimePoint seenAt)
{
    const auto [place, isNew] = pools.waves.try_emplace(wave.number);
    place->second.wave = wave;
    place->second.begun.insert(begun.begin(), begun.end());
    if (isNew) {
        place->second.seenAt = seenAt;
    }
}

std::vector<MachineCommand> planMachines(Pools &pools, engine::Engine &engine, TimePoint now)
{
    recordArrivals(pools.forecast, std::exchange(engine.arrivals, {}), now);
    planMaintenance(pools, engine, now);
    planMoves(pools, engine, now);
    std::vector<MachineCommand> orders;
    for (auto &[id, view] : pools.machines) {
        if (!view.pending) {
            continue;
        }
        cordon(engine, view.machine, true);
        const bool isDue = !view.pending->isSent || view.pending->sentAt + repeatAfter < now;
        if (isDue && isInOrder(view.machine) && isEmpty(workerOf(engine, view.machine))) {
            view.pending->isSent = true;
            view.pending->sentAt = now;
            orders.push_back(view.pending->order);
        }
    }
    return orders;
}

std::optional<std::int64_t> handleCommandResult(Pools &pools, engine::Engine &engine,
                                                const MachineCommand &order, CommandResult result,
                                                TimePoint now)
{
    const auto found = pools.machines.find(order.machine);
    if (found == pools.machines.end() || !found->second.pending) {
        return {};
    }
    MachineView &view = found->second;
    if (result == CommandResult::Unknown || result == CommandResult::NotDone) {
        return {};  // repeated by planMachines
    }
    view.pending.reset();
    if (result != CommandResult::Done) {
        view.cooldownUntil = now + restAfterRefusal;
        cordon(engine, view.machine, false);
        if (result == CommandResult::Invalid && order.kind == MachineCommand::Kind::Move) {
            view.unfitPools.insert(order.pool);
        }
        return {};
    }
    view.changedAt = now;
    const auto life = engine.newestIncarnations.find(view.machine.worker);
    if (life != engine.newestIncarnations.end()) {
        engine::endIncarnation(engine, life->second, now);
    }
    if (order.kind == MachineCommand::Kind::Move) {
        view.machine.pool = order.pool;
        view.machine.state = MachineState::Moving;
        return {};
    }
    view.machine.state = MachineState::InMaintenance;
    WaveView &wave = pools.waves.at(order.wave);
    wave.begun.insert(order.machine);
    wave.outOfService.insert(order.machine);
    return order.wave;
}

bool isCarriedOut(const Pools &pools, const WaveView &wave)
{
    for (const MachineId &id : wave.wave.machines) {
        if (!wave.begun.contains(id) && pools.machines.contains(id)) {
            return false;
        }
    }
    return true;
}

}  // namespace poplarstream::pools
