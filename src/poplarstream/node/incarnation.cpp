#include "poplarstream/node/incarnation.hpp"

#include "poplarstream/node/process_clock.hpp"  // for ProcessClock

namespace poplarstream {

std::uint64_t newIncarnation()
{
    // Milliseconds since the epoch: two starts of an entry host are at least one apart.
    return static_cast<std::uint64_t>(millisecondsSinceEpoch(ProcessClock().now()));
}

std::uint32_t peerIncarnation(std::uint64_t incarnation)
{
    return static_cast<std::uint32_t>(incarnation / 1'000);
}

}  // namespace poplarstream
