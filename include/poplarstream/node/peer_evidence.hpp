#pragma once

#include <set>  // for set
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for MinionId, HostId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/membership/evidence.hpp"  // for EvidenceTable
#include "poplarstream/node/serving_view.hpp"  // for ServingView

namespace poplarstream {

// Minions and hosts that get no new work according to the evidence, which names them by the text
// of their ids.
struct LeavingSubjects
{
    std::set<MinionId> minions;
    std::set<HostId> hosts;
};

// Assesses the minions of each service and the hosts of each pool as a group. A minion of several
// services is excluded only if the evidence suffices in each of them, so that no service loses its
// last minion. Groups without adverse evidence are skipped.
LeavingSubjects findLeavingSubjects(const membership::EvidenceTable &evidence,
                                    const ServingView &view, TimePoint now);

// The subjects of the evidence that the configuration contains, sorted; all subjects as long as
// there is no configuration.
std::vector<std::string> knownSubjects(const membership::EvidenceTable &evidence,
                                       const ServingView &view);

}  // namespace poplarstream
