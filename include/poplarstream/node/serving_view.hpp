#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <map>  // for map
#include <memory>  // for shared_ptr
#include <set>  // for set
#include <span>  // for span

#include "poplarstream/base/id.hpp"  // for MinionId, EntryHostId, ZoneId
#include "poplarstream/config/configuration.hpp"  // for Configuration
#include "poplarstream/traffic/settings.hpp"  // for TrafficSettings

namespace poplarstream {

// The part of the replayed state that the urgent path needs. Immutable; the control duty publishes
// a new view after each change.
struct ServingView
{
    std::uint64_t version = 0;  // of the configuration; 0 if there is none yet
    std::shared_ptr<const Configuration> configuration;
    traffic::TrafficSettings traffic;
    std::set<MinionId> leaving;  // from evidence newer than the replayed state
};

// The id of a minion is its address in text form, which is unique within a configuration.
MinionId minionId(Address address);

// A host for the urgent path: its current pool and whether it may get new work.
struct ServingHost
{
    const HostConfig *config = nullptr;
    PoolId pool;
    bool isInService = true;
};

// Builds the view from all hosts of the configuration; only minions of hosts in service are listed.
ServingView makeServingView(std::uint64_t version,
                            std::shared_ptr<const Configuration> configuration,
                            std::span<const ServingHost> hosts, const EntryHostId &self,
                            const ZoneId &ownZone, std::uint32_t livePeers);

}  // namespace poplarstream
