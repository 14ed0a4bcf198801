#pragma once

#include <map>  // for map
#include <optional>  // for optional
#include <set>  // for set
#include <vector>  // for vector

#include "poplarstream/engine/state.hpp"  // for Engine
#include "poplarstream/pools/demand.hpp"  // for Demand
#include "poplarstream/pools/forecast.hpp"  // for Forecast, Load
#include "poplarstream/pools/machine.hpp"  // for Machine, Wave, MachineCommand
#include "poplarstream/pools/zone_silence.hpp"  // for SilentZones

namespace poplarstream::pools {

// A command that is decided but not known to be carried out.
struct PendingCommand
{
    MachineCommand command;
    TimePoint decidedAt{};
    bool isSent = false;
    bool isInFlight = false;  // sent, and its outcome has not been reported
    TimePoint sentAt{};
    // The machine's worker when the command was first sent.
    std::optional<jobs::WorkerIncarnation> worker;
};

struct MachineView
{
    Machine machine;
    std::optional<PendingCommand> pending;
    TimePoint changedAt{};  // when its last command was carried out
    TimePoint cooldownUntil{};  // no new command before this time
    std::set<ServiceId> rejectedPools;  // target pools that the platform called invalid
    bool isDueForMaintenance = false;  // part of a wave, and its maintenance has not begun
    bool isMissing = false;  // the last list lacked it
    bool isWorkerDoubted = false;  // the last list named none or perhaps an earlier one
    std::optional<jobs::WorkerIncarnation> formerWorker;  // that the present one has replaced
    bool isCordonKept = false;  // until a list shows whether its worker has ended
};

// Progress of a wave, counted in machines.
struct WaveProgress
{
    int remaining = 0;  // maintenance has not begun
    int outOfService = 0;  // in maintenance, or draining for it
    int longRunningHosts = 0;  // out of service and still hosting long-running tasks
    int blocked = 0;  // remaining, but moving, down or in cooldown
    MachineId longestDraining;
    TimePoint longestDrainingSince{};
    // Why the machine that drains longest still hosts a long-running task.
    std::optional<engine::EvacuationHold> longestDrainingHold;
};

struct WaveView
{
    Wave wave;
    TimePoint seenAt{};
    std::set<MachineId> begun;  // maintenance has begun or is over
    std::set<MachineId> inMaintenance;  // as far as is known
    bool isCompleted = false;
    WaveProgress progress;
};

// The machines of a pool, counted by the state of their workers.
struct PoolReadiness
{
    int available = 0;  // accept tasks
    int joining = 0;  // not in the registry: being moved, in maintenance, or lost
    int unresponsive = 0;  // did not respond to the last poll
    int leaving = 0;  // draining, or cordoned for a command
};

// How many machines a pool should have.
struct PoolNeed
{
    int target = 0;  // machines are moved here below this number
    int upperBound = 0;  // and released above this number
    TimePoint surplusSince{};  // since when the pool has had more; the epoch if it has not
    // What the numbers were computed from, for the log.
    int present = 0;  // machines, including those that are joining
    PoolReadiness readiness;
    Demand demand;
    Load expected;
};

// The owner's view of machines and waves.
struct Pools
{
    std::map<MachineId, MachineView> machines;
    std::map<std::int64_t, WaveView> waves;
    std::map<ServiceId, PoolNeed> needs;
    Forecast forecast;
    std::vector<jobs::WorkerIncarnation> markedWorkers;  // whose machines are due for maintenance
    std::map<MachineId, TimePoint> cooldownUntil;  // of machines commanded by a previous owner
    // Unreachable workers that the lists lack, with the request of the first such list.
    std::map<jobs::WorkerIncarnation, TimePoint> missingSince;
    SilentZones silentZones;
    std::string holder;
    std::int64_t fencingToken = 0;
};

// The standby pool, whose machines are off, if the deployment has one.
std::optional<ServiceId> standbyPool(const engine::Engine &engine);

// The worker that is the machine's current incarnation, or null.
engine::Worker *workerOf(engine::Engine &engine, const Machine &machine);

// Whether no task runs, or may run, on the machine.
bool isEmpty(const engine::Worker *worker);

}  // namespace poplarstream::pools
