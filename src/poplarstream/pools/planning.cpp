#include "poplarstream/pools/planning.hpp"

#include <algorithm>  // for max
#include <utility>  // for exchange, move

#include "poplarstream/engine/attempts.hpp"  // for findAttempt, findWorker, markDirty, stepOf
#include "poplarstream/engine/incarnations.hpp"  // for endIncarnation
#include "poplarstream/pools/forecast.hpp"  // for recordArrivals
#include "poplarstream/pools/moves.hpp"  // for planMoves
#include "poplarstream/pools/waves.hpp"  // for planMaintenance
#include "poplarstream/pools/zone_silence.hpp"  // for updateSilentZones

namespace poplarstream::pools {

namespace {

// A command without a response is sent again after this time; it is carried out at most once.
constexpr Milliseconds resendDelay{1500};
// The reports of workers come about in their interval, and are read a little later.
constexpr Milliseconds reportSlack{500};
// A command to a worker without a response is not carried out by another process after this time:
// its connection is reset earlier.
constexpr Milliseconds commandFlightTime{400};
// A command whose outcome has not been reported for this long is taken for lost.
constexpr Milliseconds outcomeTimeout{6000};

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

// The last sign of life of a worker, to this owner or to the registry.
TimePoint lastHeardFrom(const engine::Worker &worker)
{
    return std::max(worker.answeredAt, worker.registeredAt);
}

// Whether the worker `id` is known to have started after `worker`.
bool hasStartedAfter(const engine::Engine &engine, const jobs::WorkerId &id,
                     const engine::Worker &worker)
{
    const auto found = engine.newestIncarnations.find(id);
    const std::int64_t startedUnixMs = worker.entry.incarnation.startedUnixMs;
    return found != engine.newestIncarnations.end() && startedUnixMs != 0
           && found->second.startedUnixMs > startedUnixMs;
}

// Workers whose machine is in the list without them, and whether it has a later worker: each has
// ended if it has given no sign of life since the list was requested.
std::map<jobs::WorkerIncarnation, bool>
replacedWorkers(const engine::Engine &engine, const std::map<MachineId, MachineView> &listed)
{
    std::map<jobs::WorkerIncarnation, bool> replaced;
    for (const auto &[id, view] : listed) {
        if (view.isMissing || !view.formerWorker) {
            continue;
        }
        const auto former = engine.workers.find(*view.formerWorker);
        replaced[*view.formerWorker] =
                former != engine.workers.end()
                && hasStartedAfter(engine, view.machine.worker, former->second);
    }
    return replaced;
}

// Whether a start may have reached the worker's id after a list was requested. The next incarnation
// under the id may have carried it out.
bool mayHaveStartedSince(engine::Engine &engine, const engine::Worker &worker, TimePoint askedAt)
{
    for (const auto &[ref, decisivePoll] : worker.attempts) {
        const jobs::Attempt *const attempt = engine::findAttempt(engine, ref);
        if (attempt == nullptr || !attempt->mayRun) {
            continue;
        }
        const bool isConfirmed = attempt->confirmedAt != TimePoint{};
        if (isConfirmed ? attempt->confirmedAt >= askedAt
                        : attempt->startedAt + commandFlightTime >= askedAt) {
            return true;
        }
    }
    return false;
}

// Whether it is not known yet if the worker responds to this owner.
bool awaitsFirstResponse(const engine::Worker &worker)
{
    return worker.reachability == engine::Reachability::Unconfirmed && !worker.entry.address.empty()
           && worker.isPolling;
}

// Whether a worker that this owner has never heard was on a machine of a zone in which the list
// shows no worker at all: the platform may not reach that zone.
bool isInUnseenZone(const Pools &pools, const engine::Worker &worker,
                    const std::set<ZoneId> &seenZones)
{
    const auto view = pools.machines.find(worker.machine);
    return worker.answeredAt == TimePoint{} && view != pools.machines.end()
           && !seenZones.contains(view->second.machine.zone);
}

// Ends the incarnations of unreachable workers that the list lacks. Otherwise their tasks would
// wait for the longest lease. It proves nothing by itself if the machine is missing as well, since
// the list is read in pages while machines move, or if its row names a worker that may be an
// earlier one: then the worker's next report must be missing, too. Of a silent zone it proves
// nothing: the platform may not reach the zone either, and what runs there goes on. A worker
// without tasks would be polled in vain; if it lives, its next report brings it back.
void endIncarnationsWithoutMachine(Pools &pools, engine::Engine &engine,
                                   const std::vector<Machine> &machines, TimePoint askedAt,
                                   TimePoint now)
{
    std::set<jobs::WorkerId> present;
    std::set<ZoneId> seenZones;
    for (const Machine &machine : machines) {
        present.insert(machine.worker);
        if (!machine.worker.isEmpty()) {
            seenZones.insert(machine.zone);
        }
    }
    for (const auto &[id, view] : pools.machines) {
        if (!view.isMissing && !view.isWorkerDoubted) {
            present.insert(view.machine.worker);
        }
    }
    updateSilentZones(pools.silentZones, engine, present, now);
    const std::map<jobs::WorkerIncarnation, bool> replaced =
            replacedWorkers(engine, pools.machines);
    std::map<jobs::WorkerIncarnation, TimePoint> missingSince;
    std::vector<jobs::WorkerIncarnation> ended;
    for (const auto &[incarnation, worker] : engine.workers) {
        if (worker.reachability == engine::Reachability::Reachable || worker.isGone
            || worker.knownSince >= askedAt || lastHeardFrom(worker) >= askedAt
            || present.contains(incarnation.id) || mayHaveStartedSince(engine, worker, askedAt)
            || awaitsFirstResponse(worker)) {
            continue;
        }
        const auto replacement = replaced.find(incarnation);
        const bool hasSuccessor = replacement != replaced.end() && replacement->second;
        // The end of an empty worker counts as a crash for the runs that it lost by expired leases.
        const bool hasRuns = !isEmpty(&worker) || !worker.lapsedRuns.empty();
        if (hasRuns && !hasSuccessor
            && (pools.silentZones.contains(worker.entry.zone)
                || isInUnseenZone(pools, worker, seenZones))) {
            continue;
        }
        const auto before = pools.missingSince.find(incarnation);
        const bool isStillMissing =
                before != pools.missingSince.end() && lastHeardFrom(worker) < before->second;
        const TimePoint since = isStillMissing ? before->second : askedAt;
        // Of a worker that this owner has never heard, a machine without one tells nothing more
        // than a list without it.
        const bool isReplaced =
                replacement != replaced.end() && (hasSuccessor || worker.answeredAt != TimePoint{});
        if (isEmpty(&worker) || isReplaced
            || askedAt >= since + engine.limits.reportInterval + reportSlack) {
            ended.push_back(incarnation);
        } else {
            missingSince[incarnation] = since;
        }
    }
    pools.missingSince = std::move(missingSince);
    for (const jobs::WorkerIncarnation &incarnation : ended) {
        engine::endIncarnation(engine, incarnation, engine::EndEvidence::MachineAbsent, now);
    }
}

// Takes over what a list says of a machine. While nothing says that the known worker has ended, a
// row with another one counts only if that has started later: lists may be out of date.
void applyRow(MachineView &view, engine::Engine &engine, const Machine &machine)
{
    const jobs::WorkerId known = view.machine.worker;
    const engine::Worker *const worker = workerOf(engine, view.machine);
    view.machine = machine;
    view.isWorkerDoubted = false;
    if (view.formerWorker && view.formerWorker->id == machine.worker) {
        view.formerWorker.reset();
    }
    // A worker that is not registered yet, or has no tasks, loses none.
    if (machine.worker == known || isEmpty(worker)) {
        return;
    }
    if (machine.worker.isEmpty() || hasStartedAfter(engine, machine.worker, *worker)) {
        view.formerWorker = worker->entry.incarnation;
    } else {
        view.machine.worker = known;
        view.isWorkerDoubted = true;
    }
}

// Keeps machines from commands that are listed without a worker although tasks may run there: their
// worker has not ended, or most of their zone is silent.
void doubtMachinesWithoutWorker(Pools &pools, const engine::Engine &engine)
{
    const std::optional<ServiceId> standby = standbyPool(engine);
    for (auto &[id, view] : pools.machines) {
        if (!view.machine.worker.isEmpty() || (standby && view.machine.pool == *standby)) {
            continue;
        }
        const auto former =
                view.formerWorker ? engine.workers.find(*view.formerWorker) : engine.workers.end();
        const bool isFormerAlive = former != engine.workers.end() && !former->second.isGone
                                   && !isEmpty(&former->second);
        // Silent workers of an unknown zone may run on any of them.
        if (isFormerAlive || pools.silentZones.contains(view.machine.zone)
            || pools.silentZones.contains(ZoneId())) {
            view.isWorkerDoubted = true;
        }
    }
}

// The workers with tasks that are known to run or to have run on a machine, the newest of each.
std::map<MachineId, jobs::WorkerIncarnation> busyWorkersByMachine(const engine::Engine &engine)
{
    std::map<MachineId, jobs::WorkerIncarnation> busy;
    for (const auto &[incarnation, worker] : engine.workers) {
        if (worker.machine.isEmpty() || worker.isGone || isEmpty(&worker)) {
            continue;
        }
        jobs::WorkerIncarnation &newest =
                busy.try_emplace(worker.machine, incarnation).first->second;
        if (newest.startedUnixMs < incarnation.startedUnixMs) {
            newest = incarnation;
        }
    }
    return busy;
}

// The view of a machine that this owner has not seen before. Its worker is the one that the stored
// progress names, so that the list is compared with what the previous owner knew.
MachineView newView(const Pools &pools, const engine::Engine &engine, const Machine &machine,
                    const std::map<MachineId, jobs::WorkerIncarnation> &busyWorkers)
{
    MachineView view;
    if (const auto busy = busyWorkers.find(machine.id); busy != busyWorkers.end()) {
        const auto newest = engine.newestIncarnations.find(busy->second.id);
        if (newest != engine.newestIncarnations.end() && newest->second == busy->second) {
            view.machine.worker = busy->second.id;
        }
    }
    if (const auto cooldown = pools.cooldownUntil.find(machine.id);
        cooldown != pools.cooldownUntil.end()) {
        view.cooldownUntil = cooldown->second;
    }
    return view;
}

// Completes the runs that were started before a list had shown the machine of their worker. Those
// that run until their job is cancelled are stored again, as little else of them would be.
void completeRuns(engine::Engine &engine, const engine::Worker &worker)
{
    for (const auto &[ref, decisivePoll] : worker.attempts) {
        jobs::Attempt *const attempt = engine::findAttempt(engine, ref);
        if (attempt == nullptr || !attempt->machine.isEmpty()) {
            continue;
        }
        attempt->machine = worker.machine;
        jobs::Job &job = engine.jobs.at(ref.task.job);
        if (engine::stepOf(job, ref.task).longRunning) {
            engine::markDirty(engine, job);
        }
    }
}

void noteMachine(engine::Engine &engine, engine::Worker &worker, const Machine &machine)
{
    if (worker.machine != machine.id) {
        worker.machine = machine.id;
        completeRuns(engine, worker);
    }
}

// Notes for the workers of a machine on which one they run.
void noteMachine(engine::Engine &engine, const MachineView &view)
{
    if (engine::Worker *const worker = workerOf(engine, view.machine)) {
        noteMachine(engine, *worker, view.machine);
    }
    const auto former =
            view.formerWorker ? engine.workers.find(*view.formerWorker) : engine.workers.end();
    if (former != engine.workers.end()) {
        noteMachine(engine, former->second, view.machine);
    }
}

bool isUp(const Machine &machine)
{
    return machine.state == MachineState::Up;
}

// Whether a list that was requested at `askedAt` shows that the view's move has been carried out
// although its response was lost.
bool showsMove(const MachineView &view, TimePoint askedAt)
{
    return view.pending && view.pending->isSent && view.pending->sentAt < askedAt
           && view.pending->command.kind == MachineCommand::Kind::Move
           && view.machine.pool == view.pending->command.pool;
}

}  // namespace

void applyMachineList(Pools &pools, engine::Engine &engine, const std::vector<Machine> &machines,
                      TimePoint askedAt, TimePoint now)
{
    const std::map<MachineId, jobs::WorkerIncarnation> busyWorkers = busyWorkersByMachine(engine);
    std::map<MachineId, MachineView> listed;
    for (const Machine &machine : machines) {
        const auto [place, isFirst] = listed.try_emplace(machine.id);
        MachineView &view = place->second;
        if (isFirst) {
            const auto known = pools.machines.find(machine.id);
            view = known != pools.machines.end() ? std::move(known->second)
                                                 : newView(pools, engine, machine, busyWorkers);
        }
        // A list that was requested before a command was carried out may show the earlier state.
        if (view.changedAt < askedAt || view.changedAt == TimePoint{}) {
            applyRow(view, engine, machine);
            if (showsMove(view, askedAt)) {
                view.pending.reset();
                view.isCordonKept = true;
            }
            if (view.isCordonKept && !view.pending) {
                cordon(engine, view.machine, false);
                view.isCordonKept = false;
            }
        }
        view.isMissing = false;
        noteMachine(engine, view);
    }
    // A machine without a place in one list may have changed its page while the list was read.
    for (auto &[id, view] : pools.machines) {
        if (!view.isMissing && !listed.contains(id)) {
            view.isMissing = true;
            listed[id] = std::move(view);
        }
    }
    pools.machines = std::move(listed);
    endIncarnationsWithoutMachine(pools, engine, machines, askedAt, now);
    doubtMachinesWithoutWorker(pools, engine);
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
        const Milliseconds delay = view.pending->isInFlight ? outcomeTimeout : resendDelay;
        const bool isDue = !view.pending->isSent || view.pending->sentAt + delay < now;
        const engine::Worker *const worker = workerOf(engine, view.machine);
        if (isDue && isUp(view.machine) && !view.isWorkerDoubted && isEmpty(worker)) {
            if (!view.pending->isSent && worker != nullptr) {
                view.pending->worker = worker->entry.incarnation;
            }
            view.pending->isSent = true;
            view.pending->isInFlight = true;
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
        view.pending->isInFlight = false;  // planMachines sends it again
        return {};
    }
    const std::optional<jobs::WorkerIncarnation> commanded = view.pending->worker;
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
    // The command may have been carried out before: the first time that it was sent, or by an
    // earlier owner. A worker that has tasks since may live, which its polls tell.
    const engine::Worker *const worker =
            commanded ? engine::findWorker(engine, *commanded) : nullptr;
    if (worker != nullptr && isEmpty(worker)) {
        engine::endIncarnation(engine, *commanded, engine::EndEvidence::MachineCommand, now);
    }
    view.isCordonKept = true;
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

bool mayBeSent(const Pools &pools, engine::Engine &engine, const MachineCommand &command)
{
    const auto found = pools.machines.find(command.machine);
    return found != pools.machines.end() && found->second.pending && !found->second.isWorkerDoubted
           && isEmpty(workerOf(engine, found->second.machine));
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
