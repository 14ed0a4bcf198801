#include "poplarstream/pools/moves.hpp"

#include <algorithm>  // for max, stable_partition

#include "poplarstream/pools/demand.hpp"  // for demandByService, machinesFor
#include "poplarstream/pools/forecast.hpp"  // for expectedLoad

namespace poplarstream::pools {

namespace {

// A pool keeps this many machines, so that its next job does not wait for a move.
constexpr int leastMachines = 2;
// A move costs as much as a machine in a pool for about this long, so it is given up only then.
constexpr Milliseconds surplusHeld{1200};
// A moved machine takes tasks this long after it is back: it is read from the registry, and looked
// at once.
constexpr Milliseconds joinDelay{700};

struct PoolMembers
{
    std::vector<MachineView *> up;
    int present = 0;  // including those that are joining; without those emptied for upkeep
    PoolReadiness readiness;
};

bool isMovable(const MachineView &view, TimePoint now)
{
    return !view.pending && view.cooldownUntil <= now && view.machine.state == MachineState::Up;
}

void count(PoolReadiness &readiness, engine::Engine &engine, const MachineView &view)
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
    for (auto &[id, view] : pools.machines) {
        const bool isLeaving =
                view.pending && view.pending->order.kind == MachineCommand::Kind::Move;
        const ServiceId &pool = isLeaving ? view.pending->order.pool : view.machine.pool;
        PoolMembers &own = members[pool];
        const bool isInUpkeep =
                view.machine.state == MachineState::InMaintenance
                || (view.pending && view.pending->order.kind == MachineCommand::Kind::Maintenance);
        if (view.machine.state != MachineState::Down && !isInUpkeep) {
            ++own.present;
        }
        count(own.readiness, engine, view);
        if (isMovable(view, now)) {
            members[view.machine.pool].up.push_back(&view);
        }
    }
    // The standby pool keeps those whose upkeep costs no work there, and gets them first.
    for (auto &[pool, own] : members) {
        const auto service = engine.services.find(pool);
        const bool isStandby = service != engine.services.end() && service->second.isStandby;
        std::stable_partition(own.up.begin(), own.up.end(), [isStandby](const MachineView *view) {
            return view->isDueForMaintenance != isStandby;
        });
    }
    return members;
}

jobs::Resources capacityOf(const PoolMembers &own, const Pools &pools)
{
    if (!own.up.empty()) {
        return own.up.front()->machine.capacity;
    }
    return pools.machines.empty() ? jobs::Resources{}
                                  : pools.machines.begin()->second.machine.capacity;
}

void order(Pools &pools, MachineView &view, const ServiceId &pool, TimePoint now)
{
    MachineCommand move;
    move.kind = MachineCommand::Kind::Move;
    move.machine = view.machine.id;
    move.pool = pool;
    move.holder = pools.holder;
    move.fencingToken = pools.fencingToken;
    view.pending = PendingCommand{std::move(move), now};
}

// An empty machine that may go to `pool`, of the standby pool or of a pool with a surplus.
MachineView *donorFor(std::map<ServiceId, PoolMembers> &members, Pools &pools,
                      engine::Engine &engine, const ServiceId &pool,
                      const std::optional<ServiceId> &standby, TimePoint now)
{
    // A surplus would go to the standby pool next: moving it directly saves a move.
    for (const bool fromStandby : {false, true}) {
        for (auto &[other, own] : members) {
            const bool isStandby = standby && other == *standby;
            if (other == pool || isStandby != fromStandby
                || (!isStandby && own.present <= pools.needs[other].upperBound)) {
                continue;
            }
            for (MachineView *const view : own.up) {
                if (isMovable(*view, now) && isEmpty(workerOf(engine, view->machine))
                    && !view->unfitPools.contains(pool)) {
                    --own.present;
                    return view;
                }
            }
        }
    }
    return nullptr;
}

void releaseSurplus(Pools &pools, engine::Engine &engine, PoolMembers &own, PoolNeed &need,
                    const ServiceId &standby, TimePoint now)
{
    if (own.present <= need.upperBound) {
        need.surplusSince = {};
        return;
    }
    if (need.surplusSince == TimePoint{}) {
        need.surplusSince = now;
    }
    if (now < need.surplusSince + surplusHeld) {
        return;
    }
    for (MachineView *const view : own.up) {
        if (own.present <= need.upperBound) {
            return;
        }
        const engine::Worker *const worker = workerOf(engine, view->machine);
        if (isMovable(*view, now) && isEmpty(worker) && !view->unfitPools.contains(standby)) {
            order(pools, *view, standby, now);
            --own.present;
        }
    }
}

void setNeeds(Pools &pools, const engine::Engine &engine, std::map<ServiceId, PoolMembers> &members,
              TimePoint now)
{
    const Milliseconds ahead = engine.limits.migration + joinDelay;
    std::map<ServiceId, Demand> demands = demandByService(engine, now);
    // Machines of a service that the configuration no longer names are free for others.
    std::erase_if(pools.needs,
                  [&engine](const auto &each) { return !engine.services.contains(each.first); });
    for (const auto &[service, settings] : engine.services) {
        if (settings.isStandby) {
            continue;
        }
        const PoolMembers &own = members[service];
        const jobs::Resources capacity = capacityOf(own, pools);
        PoolNeed &need = pools.needs[service];
        need.present = own.present;
        need.readiness = own.readiness;
        need.demand = demands[service];
        need.expected = expectedLoad(pools.forecast, service, ahead, now);
        need.target = std::max({machinesFor(need.demand, capacity, own.readiness.available, false),
                                machinesFor(need.demand, need.expected, capacity), leastMachines});
        need.upperBound = std::max(
                need.target, machinesFor(need.demand, capacity, own.readiness.available, true));
    }
}

}  // namespace

void planMoves(Pools &pools, engine::Engine &engine, TimePoint now)
{
    const std::optional<ServiceId> standby = standbyPool(engine);
    std::map<ServiceId, PoolMembers> members = membersOf(pools, engine, now);
    setNeeds(pools, engine, members, now);
    for (auto &[service, need] : pools.needs) {
        if (standby && service == *standby) {
            continue;
        }
        PoolMembers &own = members[service];
        while (own.present < need.target) {
            MachineView *const donor = donorFor(members, pools, engine, service, standby, now);
            if (donor == nullptr) {
                break;
            }
            order(pools, *donor, service, now);
            ++own.present;
        }
        if (standby) {
            releaseSurplus(pools, engine, own, need, *standby, now);
        }
    }
}

}  // namespace poplarstream::pools
