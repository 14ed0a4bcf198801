#include "poplarstream/pools/moves.hpp"

#include <algorithm>  // for max, stable_partition

#include "poplarstream/pools/demand.hpp"  // for demandByService, machinesFor
#include "poplarstream/pools/forecast.hpp"  // for expectedLoad

namespace poplarstream::pools {

namespace {

// Even an idle pool keeps this many machines, so that its next job does not wait for a move.
constexpr int minMachines = 2;
// A move costs about as much as keeping a machine in a pool for this long, so surplus machines are
// released only after it.
constexpr Milliseconds surplusHoldTime{1200};
// A moved machine accepts tasks this long after it is up again: it first has to be read from the
// registry and polled once.
constexpr Milliseconds joinTime{700};

struct PoolMembers
{
    std::vector<MachineView *> movable;
    int present = 0;  // including joining machines, without those draining for maintenance
    PoolReadiness readiness;
};

bool isMovable(const MachineView &view, TimePoint now)
{
    return !view.pending && !view.isWorkerDoubted && view.cooldownUntil <= now
           && view.machine.state == MachineState::Up;
}

void countReadiness(PoolReadiness &readiness, engine::Engine &engine, const MachineView &view)
{
    const engine::Worker *const worker = workerOf(engine, view.machine);
    if (view.pending || (worker != nullptr && (worker->isCordoned || worker->entry.isDraining))) {
        ++readiness.leaving;
    } else if (worker == nullptr || worker->isGone || !worker->isListed) {
        ++readiness.joining;
    } else if (worker->reachability != engine::Reachability::Reachable) {
        ++readiness.unresponsive;
    } else {
        ++readiness.available;
    }
}

std::map<ServiceId, PoolMembers> membersOf(Pools &pools, engine::Engine &engine, TimePoint now)
{
    std::map<ServiceId, PoolMembers> members;
    // Machines of one pool often follow one another.
    auto last = members.end();
    const auto membersIn = [&](const ServiceId &pool) -> PoolMembers & {
        if (last == members.end() || last->first != pool) {
            last = members.try_emplace(pool).first;
        }
        return last->second;
    };
    for (auto &[id, view] : pools.machines) {
        const bool isMoving =
                view.pending && view.pending->command.kind == MachineCommand::Kind::Move;
        const ServiceId &pool = isMoving ? view.pending->command.pool : view.machine.pool;
        PoolMembers &poolMembers = membersIn(pool);
        const bool isInMaintenance =
                view.machine.state == MachineState::InMaintenance
                || (view.pending
                    && view.pending->command.kind == MachineCommand::Kind::Maintenance);
        if (view.machine.state != MachineState::Down && !isInMaintenance) {
            ++poolMembers.present;
        }
        countReadiness(poolMembers.readiness, engine, view);
        if (isMovable(view, now)) {
            membersIn(view.machine.pool).movable.push_back(&view);
        }
    }
    // Machines that are due for maintenance move to the standby pool first and leave it last, as
    // their maintenance interrupts no work there.
    for (auto &[pool, poolMembers] : members) {
        const auto service = engine.services.find(pool);
        const bool isStandby = service != engine.services.end() && service->second.isStandby;
        std::stable_partition(poolMembers.movable.begin(), poolMembers.movable.end(),
                              [isStandby](const MachineView *view) {
                                  return view->isDueForMaintenance != isStandby;
                              });
    }
    return members;
}

jobs::Resources capacityOf(const PoolMembers &poolMembers, const Pools &pools)
{
    if (!poolMembers.movable.empty()) {
        return poolMembers.movable.front()->machine.capacity;
    }
    return pools.machines.empty() ? jobs::Resources{}
                                  : pools.machines.begin()->second.machine.capacity;
}

void commandMove(Pools &pools, MachineView &view, const ServiceId &pool, TimePoint now)
{
    MachineCommand move;
    move.kind = MachineCommand::Kind::Move;
    move.machine = view.machine.id;
    move.pool = pool;
    move.holder = pools.holder;
    move.fencingToken = pools.fencingToken;
    view.pending = PendingCommand{std::move(move), now};
}

// Takes an empty machine for `pool` from a pool with a surplus or from the standby pool.
MachineView *takeDonor(std::map<ServiceId, PoolMembers> &members, Pools &pools,
                       engine::Engine &engine, const ServiceId &pool,
                       const std::optional<ServiceId> &standby, TimePoint now)
{
    // Surplus machines would go to the standby pool next: moving them directly saves a move.
    for (const bool fromStandby : {false, true}) {
        for (auto &[other, poolMembers] : members) {
            const bool isStandby = standby && other == *standby;
            if (other == pool || isStandby != fromStandby
                || (!isStandby && poolMembers.present <= pools.needs[other].upperBound)) {
                continue;
            }
            for (MachineView *const view : poolMembers.movable) {
                if (isMovable(*view, now) && isEmpty(workerOf(engine, view->machine))
                    && !view->rejectedPools.contains(pool)) {
                    --poolMembers.present;
                    return view;
                }
            }
        }
    }
    return nullptr;
}

void releaseSurplus(Pools &pools, engine::Engine &engine, PoolMembers &poolMembers, PoolNeed &need,
                    const ServiceId &standby, TimePoint now)
{
    if (poolMembers.present <= need.upperBound) {
        need.surplusSince = {};
        return;
    }
    if (need.surplusSince == TimePoint{}) {
        need.surplusSince = now;
    }
    if (now < need.surplusSince + surplusHoldTime) {
        return;
    }
    for (MachineView *const view : poolMembers.movable) {
        if (poolMembers.present <= need.upperBound) {
            return;
        }
        const engine::Worker *const worker = workerOf(engine, view->machine);
        if (isMovable(*view, now) && isEmpty(worker) && !view->rejectedPools.contains(standby)) {
            commandMove(pools, *view, standby, now);
            --poolMembers.present;
        }
    }
}

void updateNeeds(Pools &pools, const engine::Engine &engine,
                 std::map<ServiceId, PoolMembers> &members, TimePoint now)
{
    const Milliseconds ahead = engine.limits.migration + joinTime;
    std::map<ServiceId, Demand> demands = demandByService(engine, now);
    // Machines of a service that was removed from the configuration are free for other services.
    std::erase_if(pools.needs,
                  [&engine](const auto &each) { return !engine.services.contains(each.first); });
    for (const auto &[service, settings] : engine.services) {
        if (settings.isStandby) {
            continue;
        }
        const PoolMembers &poolMembers = members[service];
        const jobs::Resources capacity = capacityOf(poolMembers, pools);
        PoolNeed &need = pools.needs[service];
        need.present = poolMembers.present;
        need.readiness = poolMembers.readiness;
        need.demand = demands[service];
        need.expected = expectedLoad(pools.forecast, service, ahead, now);
        need.target = std::max(
                {machinesFor(need.demand, capacity, poolMembers.readiness.available, false),
                 machinesFor(need.demand, need.expected, capacity), minMachines});
        need.upperBound = std::max(need.target, machinesFor(need.demand, capacity,
                                                            poolMembers.readiness.available, true));
    }
}

}  // namespace

void planMoves(Pools &pools, engine::Engine &engine, TimePoint now)
{
    const std::optional<ServiceId> standby = standbyPool(engine);
    std::map<ServiceId, PoolMembers> members = membersOf(pools, engine, now);
    updateNeeds(pools, engine, members, now);
    for (auto &[service, need] : pools.needs) {
        if (standby && service == *standby) {
            continue;
        }
        PoolMembers &poolMembers = members[service];
        while (poolMembers.present < need.target) {
            MachineView *const donor = takeDonor(members, pools, engine, service, standby, now);
            if (donor == nullptr) {
                break;
            }
            commandMove(pools, *donor, service, now);
            ++poolMembers.present;
        }
        if (standby) {
            releaseSurplus(pools, engine, poolMembers, need, *standby, now);
        }
    }
}

}  // namespace poplarstream::pools
