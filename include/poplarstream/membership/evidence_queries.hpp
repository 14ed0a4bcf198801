#pragma once

#include <span>  // for span
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/membership/evidence.hpp"  // for EvidenceTable

namespace poplarstream::membership {

// Usable: gets work. Doubtful: something speaks against it, but only one observer, which speaks
// against too many endpoints of the service at once; it gets work only when none is usable.
// Leaving and Down: no new work.
enum class Usability { Usable, Doubtful, Leaving, Down };

// Judges the endpoints of one service (or the hosts of one pool) together, in the order given. The
// freshest evidence decides; a claim that only one observer makes takes away at most the capped
// share of them, unless the endpoint itself said that it leaves.
std::vector<Usability> assessUsability(const EvidenceTable &table,
                                       std::span<const std::string> subjects, TimePoint now);

}  // namespace poplarstream::membership
