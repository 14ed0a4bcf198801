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
    Probing,  // a probe is in flight, or a request is overdue and the connection is in doubt
    Closed,
};

enum class ConnectionEvent : std::uint8_t {
    Connected,
    RequestSent,
    Answered,
    ProbeSent,
    Overdue,  // the request in flight is late beyond all measured latencies
    Failed,  // broken, or silent past its deadline
};

inline constexpr std::size_t connectionStateCount = 5;
inline constexpr std::size_t connectionEventCount = 6;

// The state after `event`, or nothing when the event is not valid in `state`.
std::optional<ConnectionState> next(ConnectionState state, ConnectionEvent event);

}  // namespace poplarstream::traffic
