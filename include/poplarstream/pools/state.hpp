#pragma once

#include <map>  // for map
#include <optional>  // for optional
#include <set>  // for set
#include <vector>  // for vector

#include "poplarstream/engine/state.hpp"  // for Engine
#include "poplarstream/pools/demand.hpp"  // for Demand
#include "poplarstream/pools/forecast.hpp"  // for Forecast, Load
#include "poplarstream/pools/machine.hpp"  // for Machine, Wave, MachineCommand

namespace poplarstream::pools {

// An order that is decided but not known to be carried out.
struct PendingCommand
{
    MachineCommand order;
    TimePoint decidedAt{};
    bool isSent = false;
    TimePoint sentAt{};
};

struct MachineView
{
    Machine machine;
    std::optional<PendingCommand> pending;
    TimePoint changedAt{};  // when its last order was carried out
    TimePoint cooldownUntil{};  // after a refusal no order is decided until then
    std::set<ServiceId> unfitPools;  // that refused it
    bool isDueForMaintenance = false;  // a wave has it, and its upkeep has not begun
};

// Where the machines of a wave stand.
struct WaveProgress
{
    int remaining = 0;  // whose upkeep has not begun
    int outOfService = 0;  // in upkeep, or being emptied for it
    int longRunningHosts = 0;  // that are emptied and still host long-running tasks
    int blocked = 0;  // remaining, and moving, down or resting after a refusal
    MachineId longestDraining;  // of those being emptied, and since when
    TimePoint longestDrainingSince{};
    std::optional<engine::EvacuationHold>
            longestDrainingHold;  // why it is not empty yet, if it is a host
};

struct WaveView
{
    Wave wave;
    TimePoint seenAt{};
    std::set<MachineId> begun;  // their upkeep has begun or is over
    std::set<MachineId> outOfService;  // in upkeep now, as far as is known
    bool isCompleted = false;
    WaveProgress progress;
};

// What the workers of a pool's machines can do.
struct PoolReadiness
{
    int available = 0;  // take tasks
    int joining = 0;  // not in the registry: on the way, in upkeep, or lost
    int unresponsive = 0;  // have not answered the last look
    int leaving = 0;  // drain, or are emptied for an order
};

// How many machines a pool should have.
struct PoolNeed
{
    int target = 0;  // machines are moved here below this
    int upperBound = 0;  // and given outOfService above this
    TimePoint surplusSince{};  // since when it has had more; the epoch when it has not
    // What the numbers rest on, for the log.
    int present = 0;  // machines, with those that are joining
    PoolReadiness readiness;
    Demand demand;
    Load expected;
};

// What the owner knows of machines and waves.
struct Pools
{
    std::map<MachineId, MachineView> machines;
    std::map<std::int64_t, WaveView> waves;
    std::map<ServiceId, PoolNeed> needs;
    Forecast forecast;
    std::map<MachineId, TimePoint> cooldownUntil;  // an earlier owner ordered them shortly before
    std::string holder;
    std::int64_t fencingToken = 0;
};

// The standby pool, whose machines are off; nothing when the deployment has none.
std::optional<ServiceId> standbyPool(const engine::Engine &engine);

// The worker that is the machine's present life, or null.
engine::Worker *workerOf(engine::Engine &engine, const Machine &machine);

// Whether nothing runs, or may run, on the machine.
bool isEmpty(const engine::Worker *worker);

}  // namespace poplarstream::pools
