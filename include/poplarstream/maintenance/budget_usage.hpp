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

// The refusal in words, for plans and `explain`.
std::string_view refusalText(Refusal refusal);

// Counts the hosts away in each pool and decides whether one more may leave. Hosts and pools are
// named by their position in the view, which must outlive the tally. The rules are those of the
// replayed budget, on the safe side:
// - a host that is not in service, not seen or whose request is in flight is away from its pool;
// - a host that will be moved takes a slot of its target pool from the request on, because it
//   counts there from the moment of the move;
// - with headroom for a rack, the hosts away and the hosts in service of any one rack together must
//   not exceed the budget;
// - while the capacity left would not cover the demand and a reserve, only a part of the budget is
//   used. The share of the flood weight in all weights sets the reserve and that part.
class BudgetUsage
{
public:
    BudgetUsage(const FleetView &view, std::span<const InFlight> inFlight, bool sustainedDemand);

    // Which demand the rules look at from now on.
    void useSustainedDemand(bool sustained) { sustainedDemand_ = sustained; }

    static constexpr std::size_t noPool = static_cast<std::size_t>(-1);

    // The position of a pool, or noPool.
    std::size_t poolIndex(const PoolId &pool) const;
    std::size_t poolOf(std::size_t host) const { return hosts_[host].pool; }
    // The (pool, rack) group that a host is in; groups are numbered from 0.
    std::size_t groupOf(std::size_t host) const { return hosts_[host].group; }
    std::size_t groupCount() const { return groups_.size(); }
    std::uint32_t inServiceInGroup(std::size_t group) const { return groups_[group].inService; }
    std::uint32_t awayInGroup(std::size_t group) const { return groups_[group].away; }
    std::uint32_t awayInPool(std::size_t pool) const { return pools_[pool].away; }
    bool isAway(std::size_t host) const { return hosts_[host].isAway; }

    // Whether `host` may leave now; `target` is the pool it moves to, or noPool.
    Refusal refusal(std::size_t host, std::size_t target) const;
    // The rules that do not depend on the rack of the host, for skipping a pool at once.
    Refusal poolRefusal(std::size_t pool) const;
    // How many hosts of the pool may be away at once under its demand if it had `extra` more hosts.
    std::uint32_t demandWidth(std::size_t pool, std::uint32_t extra) const;

    // Takes a host away, with a slot in `target` unless it is noPool.
    void leave(std::size_t host, std::size_t target);
    // Returns a host to service, in its target if it had one.
    void comeBack(std::size_t host);

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
        std::uint32_t away = 0;  // including slots taken by hosts that will move in
        std::uint32_t hostCount = 0;
        double capacity = 0;  // in service
        std::vector<std::uint32_t> groupsBySize;  // [n]: groups with n hosts in service
        std::uint32_t largestGroup = 0;
    };

    std::size_t groupIndex(std::size_t pool, std::size_t host);
    void setGroupSize(std::size_t group, std::int64_t change);
    // The most hosts in service in one rack once a host of `group` has left.
    std::uint32_t largestGroupWithout(std::size_t pool, std::size_t group) const;
    bool hasDemandRoom(std::size_t pool, double capacity) const;

    const FleetView &view_;
    bool sustainedDemand_;
    double floodShare_;
    std::vector<HostEntry> hosts_;
    std::vector<GroupEntry> groups_;
    std::vector<PoolEntry> pools_;
    std::map<std::pair<std::size_t, std::string_view>, std::size_t> groupByRack_;
};

}  // namespace poplarstream::maintenance
