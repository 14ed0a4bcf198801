#pragma once

#include <set>  // for set
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for MinionId, HostId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/membership/evidence.hpp"  // for EvidenceTable
#include "poplarstream/node/serving_view.hpp"  // for ServingView

namespace poplarstream {

// Endpoints and hosts that get no new work by the evidence. The subjects of the evidence are the
// texts of minion and host ids.
struct LeavingSubjects
{
    std::set<MinionId> minions;
    std::set<HostId> hosts;
};

// Judges the minions of each service and the hosts of each pool together. A minion of several
// services is left out only if the evidence suffices in each of them, so that no service loses its
// last one. Groups without adverse evidence are not looked at.
LeavingSubjects judgeSubjects(const membership::EvidenceTable &evidence, const ServingView &view,
                              TimePoint now);

// The subjects of the evidence that the configuration holds, sorted. With no configuration yet, all
// of them.
std::vector<std::string> knownSubjects(const membership::EvidenceTable &evidence,
                                       const ServingView &view);

}  // namespace poplarstream
