#include "poplarstream/node/minion_watch.hpp"

#include <fmt/format.h>  // for format

#include "poplarstream/telemetry/event.hpp"  // for logEvent
#include "poplarstream/telemetry/event_kinds.hpp"  // for minionEjected

namespace poplarstream {

namespace {

// Adds the minion to the set or removes it. Returns whether it was added.
bool updateMembership(std::set<MinionId> &known, const MinionId &minion, bool isIn)
{
    if (isIn) {
        return known.insert(minion).second;
    }
    known.erase(minion);
    return false;
}

}  // namespace

void logMinionChanges(MinionWatch &watch, std::span<const traffic::MinionView> minions,
                      std::uint64_t silentConnections)
{
    for (const traffic::MinionView &minion : minions) {
        if (updateMembership(watch.ejected, minion.id, minion.ejected)) {
            logEvent(events::minionEjected,
                     {{"minion", minion.id.text()}, {"reason", "slow or failing answers"}});
        }
        if (updateMembership(watch.leaving, minion.id, minion.leaving)) {
            logEvent(events::minionLeaving, {{"minion", minion.id.text()}});
        }
    }
    if (silentConnections > watch.silentConnections) {
        logEvent(events::connectionSilent,
                 {{"connections", fmt::format("{}", silentConnections - watch.silentConnections)}});
        watch.silentConnections = silentConnections;
    }
}

}  // namespace poplarstream
