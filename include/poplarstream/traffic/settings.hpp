#pragma once

#include <array>  // for array
#include <cstdint>  // for uint32_t, uint64_t
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for ServiceId, AccountId, MinionId, PoolId, ZoneId
#include "poplarstream/base/time.hpp"  // for Milliseconds

namespace poplarstream::traffic {

// Urgency levels of a service; 0 is the most urgent.
inline constexpr std::size_t urgencyLevels = 4;

struct ServiceSettings
{
    ServiceId id;
    bool idempotent = false;
    double weight = 1;  // relative share of a pool that serves several services
    Milliseconds expectedServiceTime{50};  // assumed service time before the first measurement
};

struct TenantSettings
{
    AccountId id;
    double weight = 1;
    double quota = 0;  // requests per second across all entry hosts; 0 means unlimited
};

struct PoolSettings
{
    PoolId id;
    std::vector<ServiceId> services;
};

struct ZoneSettings
{
    ZoneId id;
    Milliseconds roundTripTime{0};  // from the zone of this entry host
};

struct MinionSettings
{
    MinionId id;
    PoolId pool;
    ZoneId zone;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
};

// Policy parameters. docs/decisions/traffic-*.md explains the defaults.
struct PolicySettings
{
    std::array<double, urgencyLevels> urgencyWeights{8, 4, 2, 1};
    std::uint32_t maxQueued = 20000;  // per entry host
    std::uint64_t maxQueuedBytes = 32ULL << 20;
    double quotaBurstSeconds = 1;
    double retryRatio = 0.09;  // retries and hedges per new request; the target is below 0.1
    double retryBurst = 10;
    double maxEjectedShare = 0.34;  // of the minions of one service
    Milliseconds probeInterval{500};  // between in-band health probes of an idle connection
    Milliseconds probeTimeout{500};
    std::uint32_t probesPerSecond =
            200;  // upper bound; the interval grows with the number of connections
    Milliseconds connectTimeout{400};
    Milliseconds baseEjectionTime{
            1000};  // doubled per consecutive ejection, up to 32 times the base
    Milliseconds maxReportAge{1000};  // older load reports are ignored
};

// Input from configuration and membership. `ownZone` and `entryHost` come from the process
// settings, `livePeers` (the entry hosts that share the load, including this one) from the
// membership view.
struct TrafficSettings
{
    EntryHostId entryHost;
    ZoneId ownZone;
    std::uint32_t livePeers = 1;
    std::vector<ServiceSettings> services;
    std::vector<TenantSettings> tenants;
    std::vector<PoolSettings> pools;
    std::vector<ZoneSettings> zones;
    std::vector<MinionSettings> minions;
    PolicySettings policy;
};

}  // namespace poplarstream::traffic
