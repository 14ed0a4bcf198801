#include "poplarstream/pools/planning.hpp"

#include <utility>  // for exchange

#include "poplarstream/engine/worker_events.hpp"  // for endIncarnation
#include "poplarstream/pools/forecast.hpp"  // for recordArrivals
#include "poplarstream/pools/moves.hpp"  // for planMoves
#include "poplarstream/pools/waves.hpp"  // for planMaintenance

namespace poplarstream::pools {

namespace {

// A command without a response is sent again after this time; it is carried out at most once.
constexpr Milliseconds resendDelay{1500};

// After a refused command, the next command for the machine is decided after this time.
constexpr Milliseconds refusalCooldown{1000};

void cordon(engine::Engine &engine, const Machine &machine, bool isCordoned)
{
    engine::Worker *const worker = workerOf(engine, machine);
    if (worker != nullptr && worker->isCordoned != isCordoned) {
        worker->isCordoned = isCordoned;
        engine.needsPlan = true;
    }
}

// Ends the incarnations of unreachable workers that no machine of a newer list has. Otherwise a new
// owner would wait for the longest lease granted by its predecessor.
void endIncarnationsWithoutMachine(engine::Engine &engine, const std::vector<Machine> &machines,
                                   TimePoint askedAt, TimePoint now)
{
    std::set<jobs::WorkerId> present;
    for (const Machine &machine : machines) {
        present.insert(machine.worker);
    }
    std::vector<jobs::WorkerIncarnation> ended;
    for (const auto &[incarnation, worker] : engine.workers) {
        if (worker.reachability != engine::Reachability::Reachable && worker.knownSince < askedAt
            && !worker.isGone && !present.contains(incarnation.id)) {
            ended.push_back(incarnation);
        }
    }
    for (const jobs::WorkerIncarnation &incarnation : ended) {
        engine::endIncarnation(engine, incarnation, engine::EndEvidence::MachineAbsent, now);
    }
}

bool isUp(const Machine &machine)
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
        if (const auto cooldown = pools.cooldownUntil.find(machine.id);
            cooldown != pools.cooldownUntil.end()) {
            view.cooldownUntil = cooldown->second;
        }
        if (const auto known = pools.machines.find(machine.id); known != pools.machines.end()) {
            view = std::move(known->second);
            const jobs::WorkerId &previous = view.machine.worker;
            const auto incarnation = engine.newestIncarnations.find(previous);
            const bool hasNewIncarnation = view.changedAt < askedAt && !machine.worker.isEmpty()
                                           && machine.worker != previous;
            if (hasNewIncarnation && incarnation != engine.newestIncarnations.end()) {
                engine::endIncarnation(engine, incarnation->second,
                                       engine::EndEvidence::MachineReplaced, now);
            }
        }
        // A list that was requested before a command was carried out may show the earlier state.
        if (view.changedAt < askedAt || view.changedAt == TimePoint{}) {
            view.machine = machine;
        }
        listed[machine.id] = std::move(view);
    }
    pools.machines = std::move(listed);
    endIncarnationsWithoutMachine(engine, machines, askedAt, now);
    for (auto &[number, wave] : pools.waves) {
        std::erase_if(wave.inMaintenance, [&](const MachineId &id) {
            const auto found = pools.machines.find(id);
            return found == pools.machines.end() || isUp(found->second.machine);
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
    std::vector<MachineCommand> commands;
    for (auto &[id, view] : pools.machines) {
        if (!view.pending) {
            continue;
        }
        cordon(engine, view.machine, true);
        const bool isDue = !view.pending->isSent || view.pending->sentAt + resendDelay < now;
        if (isDue && isUp(view.machine) && isEmpty(workerOf(engine, view.machine))) {
            view.pending->isSent = true;
            view.pending->sentAt = now;
            commands.push_back(view.pending->command);
        }
    }
    return commands;
}

std::optional<std::int64_t> handleCommandResult(Pools &pools, engine::Engine &engine,
                                                const MachineCommand &command, CommandResult result,
                                                TimePoint now)
{
    const auto found = pools.machines.find(command.machine);
    if (found == pools.machines.end() || !found->second.pending) {
        return {};
    }
    MachineView &view = found->second;
    if (result == CommandResult::Unknown || result == CommandResult::NotDone) {
        return {};  // planMachines sends it again
    }
    view.pending.reset();
    if (result != CommandResult::Done) {
        view.cooldownUntil = now + refusalCooldown;
        cordon(engine, view.machine, false);
        if (result == CommandResult::Invalid && command.kind == MachineCommand::Kind::Move) {
            view.rejectedPools.insert(command.pool);
        }
        return {};
    }
    view.changedAt = now;
    const auto incarnation = engine.newestIncarnations.find(view.machine.worker);
    if (incarnation != engine.newestIncarnations.end()) {
        engine::endIncarnation(engine, incarnation->second, engine::EndEvidence::MachineCommand,
                               now);
    }
    if (command.kind == MachineCommand::Kind::Move) {
        view.machine.pool = command.pool;
        view.machine.state = MachineState::Moving;
        return {};
    }
    view.machine.state = MachineState::InMaintenance;
    WaveView &wave = pools.waves.at(command.wave);
    wave.begun.insert(command.machine);
    wave.inMaintenance.insert(command.machine);
    return command.wave;
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
