#pragma once

#include <cstdint>  // for uint8_t
#include <optional>  // for optional
#include <string_view>  // for string_view

namespace poplarstream {

// The life cycle of a host. Only a host in service does not count against its pool's budget.
enum class HostState : std::uint8_t { InService, Draining, Away, Returning, Failed };

enum class HostEvent : std::uint8_t {
    Granted,  // an absence was granted
    Drained,  // its work has ended
    Left,  // the reboot or move has begun
    CameBack,  // it answers again and is being probed
    Returned,  // the probes of the worker and the minions succeeded
    Abandoned,  // the absence was given up; the host is probed before it counts as in service
    Failed,
    Recovered,  // a failed host is back, and no granted absence is open
    RecoveredAway,  // a failed host is back during a granted absence, which a probe must end
};

inline constexpr std::size_t hostStateCount = 5;
inline constexpr std::size_t hostEventCount = 9;

// The state after the event, or nothing when the event is not valid in the state.
std::optional<HostState> next(HostState state, HostEvent event);

// "in service", "draining", "away", "returning" or "failed".
std::string_view hostStateText(HostState state);

}  // namespace poplarstream
