#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/records/control_record.hpp"  // for AbsenceRequest

namespace poplarstream {

// Returns the current members of the pool, ordered by id.
std::vector<HostId> hostsOf(const FleetState &state, const PoolId &pool);

// A host that counts as away. If `zoneLost` is set, `state` may still be InService.
struct AwayHost
{
    HostId host;
    PoolId pool;
    HostState state = HostState::InService;
    bool zoneLost = false;
    WaveId wave;
    TimePoint since;
};

// Returns the hosts that count as away, in all pools or in one.
std::vector<AwayHost> awayHosts(const FleetState &state);
std::vector<AwayHost> awayHosts(const FleetState &state, const PoolId &pool);

// Returns whether the host counts as away: it is not in service or its zone is lost.
bool isAway(const FleetState &state, const FleetHost &host);

// The absence budget of a pool. `remaining` is how many more absences it allows now, ignoring rack
// headroom.
struct PoolBudget
{
    std::uint32_t hosts = 0;
    std::uint32_t maxAway = 0;
    std::uint32_t away = 0;
    std::uint32_t incoming = 0;
    std::uint32_t remaining = 0;
};

// Returns nothing for a pool that is not configured.
std::optional<PoolBudget> budgetOf(const FleetState &state, const PoolId &pool);

// Returns why the request would be refused if it were the next record, logged at `logTime`, or an
// empty string if it would be granted. Replay itself uses this function.
std::string absenceRefusal(const FleetState &state, const AbsenceRequest &request,
                           TimePoint logTime);

// Returns the holder of the leader lease at a time of the replay clock, or nothing if the lease is
// free.
std::optional<LeaseHolder> leaseHolder(const FleetState &state, const DutyId &duty, TimePoint time);

// Returns the recent decisions, oldest first; empty for an unknown host or wave.
std::span<const Decision> decisionsOf(const FleetState &state, const HostId &host);
std::span<const Decision> decisionsOf(const FleetState &state, const WaveId &wave);

// Returns the outcome of the configuration change with this record id, if it is still in the
// history.
std::optional<ChangeDecision> changeOutcome(const FleetState &state, const RecordId &id);

}  // namespace poplarstream
