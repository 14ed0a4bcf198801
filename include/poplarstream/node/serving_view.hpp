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

// Everything the urgent path needs of the replayed state. Immutable; the control duty publishes a
// new one after each change.
struct ServingView
{
    std::uint64_t version = 0;  // of the configuration; 0 means that there is none
    std::shared_ptr<const Configuration> configuration;
    traffic::TrafficSettings traffic;
    std::set<MinionId> leaving;  // by evidence that is newer than the replayed state
};

// The name of a minion is the text of its address, which is unique in a configuration.
MinionId minionId(Address address);

// One host as the urgent path sees it: its present pool and whether it may get new work.
struct ServingHost
{
    const HostConfig *config = nullptr;
    PoolId pool;
    bool isInService = true;
};

// Lists the minions of the hosts in service. `hosts` holds all hosts of the configuration.
ServingView makeServingView(std::uint64_t version,
                            std::shared_ptr<const Configuration> configuration,
                            std::span<const ServingHost> hosts, const EntryHostId &self,
                            const ZoneId &ownZone, std::uint32_t livePeers);

}  // namespace poplarstream
