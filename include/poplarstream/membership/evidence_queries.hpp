#pragma once

#include <span>  // for span
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/membership/evidence.hpp"  // for EvidenceTable

namespace poplarstream::membership {

// Usable: gets work. Doubtful: reported by a single observer only, which reports too many endpoints
// of the service at once; gets work only when no endpoint is usable. Leaving and Down: no new work.
enum class Usability { Usable, Doubtful, Leaving, Down };

// Assesses the endpoints of one service (or the hosts of one pool) together; the result is in the
// order of `subjects`. The most recent evidence decides. Claims of a single observer take at most
// EvidencePolicy::singleObserverShare of them out of use, unless the endpoint itself announced that
// it is leaving.
std::vector<Usability> assessUsability(const EvidenceTable &table,
                                       std::span<const std::string> subjects, TimePoint now);

}  // namespace poplarstream::membership
