#pragma once

#include <cstdint>  // for uint8_t
#include <optional>  // for optional
#include <string_view>  // for string_view

namespace poplarstream {

// The life cycle of a host. A host in any state but InService counts against its pool's budget.
enum class HostState : std::uint8_t { InService, Draining, Away, Returning, Failed };

enum class HostEvent : std::uint8_t {
    Granted,  // an absence was granted
    Drained,  // no work is left on the host
    Left,  // the reboot or move has begun
    CameBack,  // the host responds again and is being probed
    Returned,  // the probes of the worker and the minions succeeded
    Abandoned,  // the absence was cancelled; the host must pass a probe to be in service again
    Failed,
    Recovered,  // a failed host is back and has no granted absence
    RecoveredAway,  // a failed host is back during a granted absence and must pass a probe
};

inline constexpr std::size_t hostStateCount = 5;
inline constexpr std::size_t hostEventCount = 9;

// Returns the state after the event, or nothing if the event is not valid in the given state.
std::optional<HostState> next(HostState state, HostEvent event);

// Returns "in service", "draining", "away", "returning" or "failed".
std::string_view hostStateText(HostState state);

}  // namespace poplarstream
