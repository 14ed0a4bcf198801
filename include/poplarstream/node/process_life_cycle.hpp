#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint8_t
#include <optional>  // for optional

namespace poplarstream {

// The life cycle of an entry host. The load balancer sends new work only to a ready one; a leaving
// one completes its requests and releases its leases.
enum class ProcessState : std::uint8_t { Starting, Ready, Leaving, Stopped };

enum class ProcessEvent : std::uint8_t {
    Published,  // the first views were published from a replayed configuration
    Leave,  // a graceful shutdown was requested
    Left,  // the leases were released, or the timeout has passed
};

inline constexpr std::size_t processStateCount = 4;
inline constexpr std::size_t processEventCount = 3;

// The state after the event, or nothing if the event is invalid in this state.
std::optional<ProcessState> next(ProcessState state, ProcessEvent event);

}  // namespace poplarstream
