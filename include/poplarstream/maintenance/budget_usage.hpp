#pragma once

#include <cstdint>  // for uint32_t, int64_t
#include <map>  // for map
#include <optional>  // for optional
#include <span>  // for span
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for HostId, PoolId
#include "poplarstream/maintenance/fleet_view.hpp"  // for FleetView

namespace poplarstream::maintenance {

// Why a host must stay in service for now.
enum class Refusal {
    None,
    NotInService,
    UnknownPool,
    PoolBudget,
    RackHeadroom,
    TargetBudget,
    TargetHeadroom,
    Demand,
};

// A readable text for wave plans and `explain`.
std::string_view refusalText(Refusal refusal);

// Counts the hosts away from each pool and decides whether one more may leave. Hosts and pools are
// identified by their index in the view, which must outlive this object. The rules are those of the
// budget check on the replayed control stream, applied conservatively:
// - A host counts as away from its pool if it is not in service, if its zone is lost, or if a
//   request for it is in flight.
// - A host that will be moved uses a slot of its target pool from the request on, because it counts
//   there as soon as it has been moved.
// - With rack headroom, the hosts away plus the hosts in service in any one rack must not exceed
//   the budget.
// - While the remaining capacity would not cover the demand plus a reserve, only a part of the
//   budget is used. The flood weight, as a share of the sum of all weights, sets the reserve and
//   that part.
class BudgetUsage
{
public:
    BudgetUsage(const FleetView &view, std::span<const InFlight> inFlight, bool sustainedDemand);

    // Selects the demand that the rules use from now on.
    void useSustainedDemand(bool sustained) { sustainedDemand_ = sustained; }

    static constexpr std::size_t noPool = static_cast<std::size_t>(-1);

    // The index of a pool, or noPool.
    std::size_t poolIndex(const PoolId &pool) const;
    std::size_t poolOf(std::size_t host) const { return hosts_[host].pool; }
    // The (pool, rack) group of a host; groups are numbered from 0.
    std::size_t groupOf(std::size_t host) const { return hosts_[host].group; }
    std::size_t groupCount() const { return groups_.size(); }
    std::uint32_t inServiceInGroup(std::size_t group) const { return groups_[group].inService; }
    std::uint32_t awayInGroup(std::size_t group) const { return groups_[group].away; }
    std::uint32_t awayInPool(std::size_t pool) const { return pools_[pool].away; }
    bool isAway(std::size_t host) const { return hosts_[host].isAway; }

    // Why `host` may not leave now, or Refusal::None; `target` is the pool that it moves to, or
    // noPool.
    Refusal refusal(std::size_t host, std::size_t target) const;
    // The rules that do not depend on the host; lets a caller skip a whole pool.
    Refusal poolRefusal(std::size_t pool) const;
    // How many hosts of the pool may be away at once under its demand if it had `extra` more hosts.
    std::uint32_t maxAwayUnderDemand(std::size_t pool, std::uint32_t extra) const;

    // Counts a host as away; it also uses a slot in `target` unless that is noPool.
    void markAway(std::size_t host, std::size_t target);
    // Counts a host as in service again, in its target pool if it had one.
    void markReturned(std::size_t host);

private:
    struct HostEntry
    {
        std::size_t pool = noPool;
        std::size_t group = 0;
        std::size_t target = noPool;
        bool isAway = false;
    };
    struct GroupEntry
    {
        std::size_t pool = noPool;
        std::uint32_t inService = 0;
        std::uint32_t away = 0;
    };
    struct PoolEntry
    {
        std::uint32_t away = 0;  // includes slots used by hosts that will move in
        std::uint32_t hostCount = 0;
        double capacity = 0;  // of the hosts in service
        std::vector<std::uint32_t> groupsBySize;  // [n]: number of groups with n hosts in service
        std::uint32_t largestGroup = 0;
    };

    std::size_t groupIndex(std::size_t pool, std::size_t host);
    void setGroupSize(std::size_t group, std::int64_t change);
    // The hosts in service in the largest rack once a host of `group` has left.
    std::uint32_t largestGroupWithout(std::size_t pool, std::size_t group) const;
    // Whether the demand on the pool allows the loss of `capacity`.
    bool demandAllowsLoss(std::size_t pool, double capacity) const;

    const FleetView &view_;
    bool sustainedDemand_;
    double floodWeightShare_;
    std::vector<HostEntry> hosts_;
    std::vector<GroupEntry> groups_;
    std::vector<PoolEntry> pools_;
    std::map<std::pair<std::size_t, std::string_view>, std::size_t> groupByRack_;
};

}  // namespace poplarstream::maintenance
