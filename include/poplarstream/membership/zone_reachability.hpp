#pragma once

#include <map>  // for map
#include <optional>  // for optional
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for ZoneId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/membership/peer_table.hpp"  // for PeerTable

namespace poplarstream::membership {

struct ZonePolicy
{
    // Added to the validity of digests (10 s), so a zone is lost after about 20 s: less than a
    // reboot takes, more than a restart of the two processes that send the digests.
    Milliseconds lostAfter{10'000};
    Milliseconds recoveredAfter{10'000};
    // Delay between the proposals of successive ranks; longer than an append and its read-back.
    Milliseconds rankDelay{2'000};
};

// Whether each other zone is usable, and since when. Kept by the caller between calls.
struct ZoneWatch
{
    struct Entry
    {
        bool isUsable = true;
        TimePoint since;
    };
    std::map<ZoneId, Entry> zones;
    std::optional<TimePoint> lastObserved;
};

struct ZoneChange
{
    ZoneId zone;
    bool isLost = false;
};

// Updates the watch with the current observations. A zone is usable while the own zone hears it and
// it reports that it reaches the log, or while only a third zone hears it.
void observeZones(ZoneWatch &watch, const PeerTable &table, TimePoint now);

// Returns the reachability changes to propose now. `lost` lists the zones that are lost in the
// replayed state. A process proposes a zone as lost only
// - if it reaches the log itself;
// - if its own zone is not lost, and it hears at least one and more than half of the other zones
//   that are not lost, not counting the zone in question. A zone that is itself partitioned hears
//   few or none. With only two zones, neither can tell which of them is partitioned, so neither is
//   ever proposed;
// - after a delay that grows with its rank among the live processes, so that usually only one of
//   them appends a record.
// A zone has recovered when it has been usable for some time. The processes of a lost zone, which
// learn of the loss by replay, also propose its recovery once they reach the log and hear another
// zone that hears them.
std::vector<ZoneChange> proposeZoneChanges(const ZoneWatch &watch, const PeerTable &table,
                                           const std::vector<ZoneId> &lost, bool isLogReachable,
                                           const ZonePolicy &policy, TimePoint now);

}  // namespace poplarstream::membership
