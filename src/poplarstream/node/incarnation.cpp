#include "poplarstream/node/incarnation.hpp"

#include "poplarstream/base/process_identity.hpp"  // for drawProcessNumber

namespace poplarstream {

std::uint64_t newIncarnation()
{
    return drawProcessNumber();
}

std::uint32_t peerIncarnation(std::uint64_t incarnation)
{
    // Peers compare it with the earlier ones of one entry host only, so 32 bits are enough.
    return static_cast<std::uint32_t>(incarnation);
}

}  // namespace poplarstream
