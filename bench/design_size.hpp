#pragma once

#include <cstdint>  // for uint32_t
#include <string>  // for string

namespace poplarstream {

// The size of a fleet to write a document for. The defaults are the design size.
struct FleetSize
{
    std::uint32_t hosts = 4500;
    std::uint32_t pools = 20;
    std::uint32_t tenants = 340;
    std::uint32_t zones = 15;
    std::uint32_t regions = 5;
    std::uint32_t hostsPerRack = 4;
    std::uint32_t maxAway = 5;
};

// The INI text of a valid configuration of this size: hosts in racks that lie in one zone, spread
// evenly over zones and pools, each pool with a service of its own, urgent and slow in turn, the
// last pool as spare, one running wave over all pools. There are at most 250 hosts a second octet,
// so at most 60,000 hosts have addresses.
std::string designSizeDocument(const FleetSize &size = {});

}  // namespace poplarstream
