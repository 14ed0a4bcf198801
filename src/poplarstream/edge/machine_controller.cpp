#include "poplarstream/edge/machine_controller.hpp"

#include <algorithm>  // for copy_if, max
#include <iterator>  // for back_inserter
#include <optional>  // for optional

#include <fmt/format.h>  // for format

#include "poplarstream/edge/closable.hpp"  // for Closable
#include "poplarstream/edge/decision_log.hpp"  // for taskText
#include "poplarstream/edge/stored_waves.hpp"  // for waveRecord, decodeWaveRecord, seenAt
#include "poplarstream/pools/planning.hpp"  // for planMachines, handleCommandResult
#include "poplarstream/pools/wave_shares.hpp"  // for waveShare, isMaintenanceOver
#include "poplarstream/telemetry/event_kinds.hpp"  // for machineOrdered

namespace poplarstream::edge {

namespace {

// The list shows when a machine that was moved is up again.
constexpr Milliseconds shortestListPeriod{400};
constexpr Milliseconds planPeriod{100};
constexpr Milliseconds logPeriod{1000};

// The platform limits the reads of all owners together, and each reads the whole list.
Milliseconds listPeriod(int shardCount)
{
    return std::max(shortestListPeriod, shortestListPeriod * shardCount / 2);
}

std::string_view resultText(pools::CommandResult result)
{
    switch (result) {
    case pools::CommandResult::Done:
        return "done";
    case pools::CommandResult::Fenced:
        return "fenced";
    case pools::CommandResult::Busy:
        return "busy";
    case pools::CommandResult::NotOfWave:
        return "not-of-wave";
    case pools::CommandResult::Invalid:
        return "invalid";
    case pools::CommandResult::NotDone:
        return "not-done";
    case pools::CommandResult::Unknown:
        break;
    }
    return "unknown";
}

std::string holdText(const std::optional<engine::EvacuationHold> &hold)
{
    if (!hold) {
        return {};
    }
    return fmt::format("{} {}", taskText(hold->task),
                       hold->hasCandidate ? fmt::format("missing={}", hold->missing)
                                          : std::string("no-site"));
}

// What became of the permission of a command that was handed to the platform's port.
struct Permission
{
    bool isWithheld = false;  // it had run out when the command was about to be written
    std::optional<Milliseconds> age;  // when the command was written; empty if it was not
};

}  // namespace

struct MachineController::State : Closable<MachineController::State>
{
    State(Runtime &sharedRuntime, ownership::Shard ownShard, engine::Engine &jobEngine,
          MachineControllerHooks given)
        : runtime(sharedRuntime)
        , shard(ownShard)
        , engine(jobEngine)
        , hooks(std::move(given))
    {}

    void after(Milliseconds delay, void (State::*step)())
    {
        callAfter(runtime, delay, guarded([step](State &self) { (self.*step)(); }));
    }

    void list()
    {
        listed.clear();
        listRequestedAt = steadyNow();
        listPage({});
    }

    void listPage(const std::string &page)
    {
        runtime.machines.list(page, guarded([](State &self, MachinePage response) {
                                  self.handlePage(std::move(response));
                              }));
    }

    void handlePage(MachinePage page)
    {
        std::copy_if(page.machines.begin(), page.machines.end(), std::back_inserter(listed),
                     [this](const pools::Machine &machine) {
                         return ownership::shardOfRack(machine.rack, shard.count) == shard.index;
                     });
        if (page.isRead && !page.nextPage.empty()) {
            listPage(page.nextPage);
            return;
        }
        if (page.isRead) {
            const LoadMeter::Section section(runtime.load, OwnerWork::Machines);
            const pools::SilentZones silentBefore = machines.silentZones;
            pools::applyMachineList(machines, engine, listed, listRequestedAt, steadyNow());
            hasList = true;
            logZones(events::zoneSilent, machines.silentZones, silentBefore);
            logZones(events::zoneHeard, silentBefore, machines.silentZones);
        }
        after(listPeriod(shard.count), &State::list);
    }

    // Logs the zones of the first argument that the other one lacks.
    void logZones(const EventKind &event, const pools::SilentZones &zones,
                  const pools::SilentZones &others) const
    {
        for (const auto &[zone, silence] : zones) {
            if (!others.contains(zone)) {
                logEvent(event, {{"zone", zone.text()},
                                 {"shard", fmt::to_string(shard.index)},
                                 {"workers", fmt::to_string(silence.workers)},
                                 {"away", fmt::to_string(silence.away)}});
            }
        }
    }

    void plan()
    {
        const LoadMeter::Section section(runtime.load, OwnerWork::Machines);
        if (hasList && hooks.mayIssueCommands()) {
            divideWaves();
            sendConfirmed(pools::planMachines(machines, engine, steadyNow()));
            reportWaves();
            logProgress();
        }
        after(planPeriod, &State::plan);
    }

    // Gives each wave this shard's part of the machines that may be out of service.
    void divideWaves()
    {
        for (auto &[number, wave] : machines.waves) {
            wave.wave.cap = pools::waveShare(
                    requestedCaps.at(number), shard.index, shard.count,
                    [this, wave = number](int of) { return hooks.hasCarriedOut(of, wave); });
        }
    }

    // Commands that are not sent count as commands without a response, and are retried.
    void sendConfirmed(std::vector<pools::MachineCommand> commands)
    {
        if (commands.empty()) {
            return;
        }
        std::vector<std::string> machineIds;
        machineIds.reserve(commands.size());
        for (const pools::MachineCommand &command : commands) {
            machineIds.push_back(command.machine.text());
        }
        hooks.confirm(std::move(machineIds),
                      guarded([commands = std::move(commands)](State &self, bool isConfirmed) {
                          for (const pools::MachineCommand &command : commands) {
                              if (isConfirmed && self.maySend(command)) {
                                  self.send(command);
                              } else {
                                  self.withheld += isConfirmed ? 1 : 0;
                                  pools::handleCommandResult(self.machines, self.engine, command,
                                                             pools::CommandResult::NotDone,
                                                             steadyNow());
                              }
                          }
                      }));
    }

    // Asked for each command anew: the process may have been paused since the last one, and another
    // owner may command the machine meanwhile.
    bool maySend(const pools::MachineCommand &command)
    {
        return hooks.mayIssueCommands() && pools::mayBeSent(machines, engine, command);
    }

    void send(const pools::MachineCommand &command)
    {
        const auto permission = std::make_shared<Permission>();
        const auto mayWrite = [weak = weak_from_this(), command, permission] {
            const auto self = weak.lock();
            permission->isWithheld = !self || self->isClosed || !self->maySend(command);
            if (!permission->isWithheld) {
                permission->age = steadyNow() - self->hooks.confirmedAt();
            }
            return !permission->isWithheld;
        };
        runtime.machines.command(
                command, mayWrite,
                guarded([command, permission](State &self, pools::CommandResult result) {
                    self.withheld += permission->isWithheld ? 1 : 0;
                    self.handleResult(command, result, *permission);
                }));
    }

    void handleResult(const pools::MachineCommand &command, pools::CommandResult result,
                      const Permission &permission)
    {
        const bool isMove = command.kind == pools::MachineCommand::Kind::Move;
        logEvent(events::machineOrdered,
                 {{"machine", command.machine.text()},
                  {"order", isMove ? "move" : "upkeep"},
                  {"to", isMove ? command.pool.text() : fmt::to_string(command.wave)},
                  {"result", std::string(permission.isWithheld ? "withheld" : resultText(result))},
                  {"permitted_ms_ago",
                   permission.age ? fmt::to_string(permission.age->count()) : std::string()}});
        const auto wave =
                pools::handleCommandResult(machines, engine, command, result, steadyNow());
        if (wave) {
            engine.pendingRecords.push_back(
                    waveRecord(machines.waves.at(*wave), clockReadingNow()));
        }
    }

    void logProgress()
    {
        const TimePoint now = steadyNow();
        if (now >= loggedAt + logPeriod) {
            loggedAt = now;
            logPools();
            logWaves(now);
        }
    }

    void logWaves(TimePoint now) const
    {
        for (const auto &[number, wave] : machines.waves) {
            const pools::WaveProgress &progress = wave.progress;
            if (wave.isCompleted) {
                continue;
            }
            const Milliseconds age = progress.longestDraining.isEmpty()
                                             ? Milliseconds{0}
                                             : now - progress.longestDrainingSince;
            logEvent(events::waveUnderWay, {{"wave", fmt::to_string(number)},
                                            {"left", fmt::to_string(progress.remaining)},
                                            {"away", fmt::to_string(progress.outOfService)},
                                            {"hosts", fmt::to_string(progress.longRunningHosts)},
                                            {"not_up", fmt::to_string(progress.blocked)},
                                            {"oldest", progress.longestDraining.text()},
                                            {"oldest_ms", fmt::to_string(age.count())},
                                            {"held_by", holdText(progress.longestDrainingHold)},
                                            {"shard", fmt::to_string(shard.index)}});
        }
    }

    void logPools() const
    {
        for (const auto &[service, need] : machines.needs) {
            logEvent(events::poolSized,
                     {{"pool", service.text()},
                      {"wanted", fmt::to_string(need.target)},
                      {"kept", fmt::to_string(need.upperBound)},
                      {"present", fmt::to_string(need.present)},
                      {"open", fmt::to_string(need.readiness.available)},
                      {"coming", fmt::to_string(need.readiness.joining)},
                      {"silent", fmt::to_string(need.readiness.unresponsive)},
                      {"leaving", fmt::to_string(need.readiness.leaving)},
                      {"running_milli", fmt::to_string(need.demand.running.cpuMilli)},
                      {"waiting_milli", fmt::to_string(need.demand.waiting.cpuMilli)},
                      {"late_milli", fmt::to_string(need.demand.late.cpuMilli)},
                      {"expected_milli", fmt::format("{:.0f}", need.expected.cpuMilli)},
                      {"shard", fmt::to_string(shard.index)}});
        }
    }

    // Whether this shard's part of a wave is done. With several shards, its last machines have to
    // be back as well, since another shard may take their places.
    bool isDone(const pools::WaveView &wave) const
    {
        return shard.count == 1 ? pools::isCarriedOut(machines, wave)
                                : pools::isMaintenanceOver(machines, wave);
    }

    bool isDoneEverywhere(const pools::WaveView &wave) const
    {
        bool isDone = wave.isCompleted;
        for (int of = 0; of < shard.count && isDone; ++of) {
            isDone = of == shard.index || hooks.hasCarriedOut(of, wave.wave.number);
        }
        return isDone;
    }

    // Reports the state of waves to the operator, and repeats a report until it is stored.
    void reportWaves()
    {
        for (auto &[number, wave] : machines.waves) {
            if (!wave.isCompleted && isDone(wave)) {
                wave.isCompleted = true;
                engine.pendingRecords.push_back(waveRecord(wave, clockReadingNow()));
                hooks.carriedOut(number);
            }
            if (shard.index != 0) {
                continue;
            }
            const bool isCompleted = isDoneEverywhere(wave);
            const auto reported = reportedWaves.find(number);
            if (reported == reportedWaves.end() || reported->second != isCompleted) {
                report(wave.wave, isCompleted);
            }
        }
    }

    void report(const pools::Wave &wave, bool isCompleted)
    {
        const std::int64_t number = wave.number;
        if (!reportsInFlight.insert(number).second) {
            return;
        }
        AppendRequest request;
        request.log = Log::Status;
        request.records = {runtime.decode.waveStatus(wave, isCompleted)};
        runtime.store.append(std::move(request), [weak = weak_from_this(), number,
                                                  isCompleted](const AppendOutcome &outcome) {
            const auto self = weak.lock();
            if (!self || self->isClosed) {
                return;
            }
            self->reportsInFlight.erase(number);
            if (outcome.result == AppendResult::Stored) {
                self->reportedWaves[number] = isCompleted;
                logEvent(events::waveReported, {{"wave", fmt::to_string(number)},
                                                {"completed", isCompleted ? "yes" : "no"}});
            }
        });
    }

    Runtime &runtime;
    ownership::Shard shard;
    engine::Engine &engine;
    MachineControllerHooks hooks;
    pools::Pools machines;
    std::vector<pools::Machine> listed;
    TimePoint listRequestedAt{};  // when the list in progress was begun
    std::map<std::int64_t, StoredWave> storedWaves;  // by number
    std::map<std::int64_t, int> requestedCaps;  // for all shards together, by wave
    std::map<std::int64_t, bool> reportedWaves;  // whether the stored report says completed
    std::set<std::int64_t> reportsInFlight;
    TimePoint loggedAt{};
    std::uint64_t withheld = 0;  // commands that were confirmed, but not permitted any more
    bool hasList = false;
};

MachineController::MachineController(Runtime &runtime, ownership::Shard shard,
                                     engine::Engine &engine, std::int64_t epoch,
                                     MachineControllerHooks hooks)
    : state_(std::make_shared<State>(runtime, shard, engine, std::move(hooks)))
{
    state_->machines.holder = runtime.settings.name.text();
    state_->machines.fencingToken = epoch;
}

MachineController::~MachineController()
{
    state_->isClosed = true;
}

void MachineController::adopt(const StoredRecord &record)
{
    Result<StoredWave> wave = decodeWaveRecord(record);
    if (!wave) {
        logEvent(events::recordUnreadable, {{"stream", "progress"},
                                            {"offset", fmt::to_string(record.offset)},
                                            {"fault", wave.failure().message}});
        return;
    }
    const std::int64_t number = wave.value().number;
    state_->storedWaves[number] = std::move(wave).value();
}

void MachineController::applyWave(const pools::Wave &wave)
{
    const StoredWave &stored = state_->storedWaves[wave.number];
    const bool isNew = !state_->machines.waves.contains(wave.number);
    pools::applyWave(state_->machines, wave, stored.begun, seenAt(wave, stored, clockReadingNow()));
    state_->requestedCaps[wave.number] = wave.cap;
    // Another shard may have this shard's places since.
    pools::WaveView &view = state_->machines.waves.at(wave.number);
    view.isCompleted = view.isCompleted
                       || (state_->shard.count > 1
                           && state_->hooks.hasCarriedOut(state_->shard.index, wave.number));
    if (isNew && !stored.seenUnixMs) {
        // A successor needs the start of the wave's time.
        state_->engine.pendingRecords.push_back(
                waveRecord(state_->machines.waves.at(wave.number), clockReadingNow()));
    }
}

std::string MachineController::metrics() const
{
    return fmt::format("poplar_machine_commands_withheld_total{{shard=\"{}\"}} {}\n",
                       state_->shard.index, state_->withheld);
}

void MachineController::start(std::map<pools::MachineId, TimePoint> cooldownUntil)
{
    state_->machines.cooldownUntil = std::move(cooldownUntil);
    if (state_->runtime.settings.machines.port != 0) {
        state_->list();
        state_->plan();
    }
}

}  // namespace poplarstream::edge
