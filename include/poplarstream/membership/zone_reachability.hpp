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
    // On top of the age of digests (10 s), so that a zone counts as lost after about 20 s. Shorter
    // than a reboot, longer than a restart of the two processes that send the digests.
    Milliseconds lostAfter{10'000};
    Milliseconds foundAfter{10'000};
    // Between the proposals of neighbouring ranks; longer than an append and its read-back.
    Milliseconds rankDelay{2'000};
};

// Since when each other zone has looked as it does now. Kept by the caller between calls.
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

// Updates the watch with the present sights. A zone is usable while somebody hears it (this zone or
// a zone that we hear) and, if we hear it ourselves, it says that it reaches the log.
void observeZones(ZoneWatch &watch, const PeerTable &table, TimePoint now);

// The changes of reachability to propose now. `lost` are the zones that the replayed state has as
// lost. A zone is proposed as lost only by a process
// - that reaches the log itself,
// - whose zone is not lost and hears more than half of the other zones that are not lost, the zone
//   in question left out, and at least one: a zone that is itself cut off hears few or none. With
//   two zones nobody can tell which of them is cut off, so neither is ever proposed;
// - after a delay that grows with its rank among the live processes, so that one record is enough.
// A zone is found again when it has been usable for some time; its own processes, which replay that
// they are lost, propose it too, once they and another zone hear each other and they reach the log.
std::vector<ZoneChange> proposeZoneChanges(const ZoneWatch &watch, const PeerTable &table,
                                           const std::vector<ZoneId> &lost, bool isLogReachable,
                                           const ZonePolicy &policy, TimePoint now);

}  // namespace poplarstream::membership
