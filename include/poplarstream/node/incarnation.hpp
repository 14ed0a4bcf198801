#pragma once

#include <cstdint>  // for uint32_t, uint64_t

namespace poplarstream {

// The incarnation of a process that starts now, drawn at random. Ids of its runs, records and
// requests contain it, so that they differ from those of other processes and of its earlier ones.
std::uint64_t newIncarnation();

// The part of it that messages between entry hosts carry, where each byte counts.
std::uint32_t peerIncarnation(std::uint64_t incarnation);

}  // namespace poplarstream
