#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/records/control_record.hpp"  // for AbsenceRequest

namespace poplarstream {

// The hosts that are in the pool now, in the order of their ids.
std::vector<HostId> hostsOf(const FleetState &state, const PoolId &pool);

// A host that counts as away. `zoneLost` hosts may be in service otherwise.
struct AwayHost
{
    HostId host;
    PoolId pool;
    HostState state = HostState::InService;
    bool zoneLost = false;
    WaveId wave;
    TimePoint since;
};

// All hosts that count as away, or those of one pool.
std::vector<AwayHost> awayHosts(const FleetState &state);
std::vector<AwayHost> awayHosts(const FleetState &state, const PoolId &pool);

// Whether the host counts as away: not in service, or in a lost zone.
bool isAway(const FleetState &state, const FleetHost &host);

// The budget of a pool. `remaining` is how many more absences it allows now, without rack headroom.
struct PoolBudget
{
    std::uint32_t hosts = 0;
    std::uint32_t maxAway = 0;
    std::uint32_t away = 0;
    std::uint32_t incoming = 0;
    std::uint32_t remaining = 0;
};

// Nothing for a pool that is not configured.
std::optional<PoolBudget> budgetOf(const FleetState &state, const PoolId &pool);

// Why the request would be refused if it were the next record and the log's time were `logTime`;
// empty if it would be granted. Replay decides with this function.
std::string absenceRefusal(const FleetState &state, const AbsenceRequest &request,
                           TimePoint logTime);

// The holder of the duty at a time of the replay clock; nothing if nobody holds it.
std::optional<LeaseHolder> leaseHolder(const FleetState &state, const DutyId &duty, TimePoint time);

// Recent decisions, oldest first; empty for an unknown host or wave.
std::span<const Decision> decisionsOf(const FleetState &state, const HostId &host);
std::span<const Decision> decisionsOf(const FleetState &state, const WaveId &wave);

// The outcome of the change with this record id, if it is among the recent ones.
std::optional<ChangeDecision> changeOutcome(const FleetState &state, const RecordId &id);

}  // namespace poplarstream
