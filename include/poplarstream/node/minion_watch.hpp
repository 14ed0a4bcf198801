#pragma once

#include <cstdint>  // for uint64_t
#include <set>  // for set
#include <span>  // for span

#include "poplarstream/base/id.hpp"  // for MinionId
#include "poplarstream/traffic/state_view.hpp"  // for MinionView

namespace poplarstream {

// State of the minions as last logged, so that each change is logged once.
struct MinionWatch
{
    std::set<MinionId> ejected;
    std::set<MinionId> leaving;
    std::uint64_t silentConnections = 0;
};

// Logs an event for each change since the last call.
void logMinionChanges(MinionWatch &watch, std::span<const traffic::MinionView> minions,
                      std::uint64_t silentConnections);

}  // namespace poplarstream
