#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint8_t
#include <optional>  // for optional

namespace poplarstream::traffic {

// A pooled connection to a minion carries one request or one probe at a time.
enum class ConnectionState : std::uint8_t {
    Connecting,
    Idle,
    Busy,  // a request is in flight
    Probing,  // a probe is in flight, or the request in flight is overdue
    Closed,
};

enum class ConnectionEvent : std::uint8_t {
    Connected,
    RequestSent,
    Answered,
    ProbeSent,
    Overdue,  // no response within the expected latency range
    Failed,  // broken, or a timeout expired
};

inline constexpr std::size_t connectionStateCount = 5;
inline constexpr std::size_t connectionEventCount = 6;

// Returns the state after `event`, or nullopt when the event is not valid in `state`.
std::optional<ConnectionState> next(ConnectionState state, ConnectionEvent event);

}  // namespace poplarstream::traffic
