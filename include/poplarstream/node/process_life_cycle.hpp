#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint8_t
#include <optional>  // for optional

namespace poplarstream {

// The life cycle of an entry host. Only a ready one is offered new work by the load balancer; a
// leaving one finishes its requests and gives up its leases.
enum class ProcessState : std::uint8_t { Starting, Ready, Leaving, Stopped };

enum class ProcessEvent : std::uint8_t {
    Published,  // the first views were published from a replayed configuration
    Leave,  // a graceful shutdown was asked for
    Left,  // the leases are given up, or the time for it has passed
};

inline constexpr std::size_t processStateCount = 4;
inline constexpr std::size_t processEventCount = 3;

// The state after the event, or nothing when the event is not valid in the state.
std::optional<ProcessState> next(ProcessState state, ProcessEvent event);

}  // namespace poplarstream
