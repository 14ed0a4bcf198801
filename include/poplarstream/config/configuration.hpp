#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for HostId, PoolId, ServiceId, AccountId, WaveId, ZoneId
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/config/address.hpp"  // for Address
#include "poplarstream/config/shared_table.hpp"  // for SharedTable
#include "poplarstream/records/control_record.hpp"  // for AbsenceKind

namespace poplarstream {

// [fleet]. The weights set the relative importance of roll-out time, of moves, and of service to
// other work during a flood.
struct FleetConfig
{
    std::string name;
    double weightRollout = 1;
    double weightMoves = 1;
    double weightFlood = 1;
    bool rackHeadroom = false;

    friend bool operator==(const FleetConfig &, const FleetConfig &) = default;
};

// [zone id]
struct ZoneConfig
{
    ZoneId id;
    RegionId region;

    friend bool operator==(const ZoneConfig &, const ZoneConfig &) = default;
};

// [rack id]. Optional; assigns a rack to its zone before any host refers to it.
struct RackConfig
{
    RackId id;
    ZoneId zone;

    friend bool operator==(const RackConfig &, const RackConfig &) = default;
};

// [pool id]. `maxAway` is the budget: how many hosts of the pool may be absent at the same time.
struct PoolConfig
{
    PoolId id;
    std::vector<ServiceId> services;
    std::uint32_t maxAway = 0;
    bool spare = false;

    friend bool operator==(const PoolConfig &, const PoolConfig &) = default;
};

enum class ServiceClass { Urgent, Slow };

// [service id]. The resources and the duration are the declared requirements of one run.
struct ServiceConfig
{
    ServiceId id;
    ServiceClass serviceClass = ServiceClass::Urgent;
    bool idempotent = false;
    Milliseconds deadline{0};
    double cpus = 1;
    std::uint64_t memoryMegabytes = 512;
    std::uint32_t accelerators = 0;
    double runSeconds = 60;

    friend bool operator==(const ServiceConfig &, const ServiceConfig &) = default;
};

// [tenant id]. `quota` is in requests per second. `token` is a secret and must not appear in any
// message.
struct TenantConfig
{
    AccountId id;
    double weight = 1;
    double quota = 0;
    std::string token;

    friend bool operator==(const TenantConfig &, const TenantConfig &) = default;
};

// [host id]. `slots` and `connections` are limits per minion.
struct HostConfig
{
    HostId id;
    ZoneId zone;
    RackId rack;
    PoolId pool;
    double cpus = 0;
    std::uint64_t memoryMegabytes = 0;
    std::uint32_t accelerators = 0;
    Address worker;
    std::vector<Address> minions;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;

    friend bool operator==(const HostConfig &, const HostConfig &) = default;
};

enum class WaveState { Running, Stopped, Withdrawn };

// A half-open interval [start, end) in seconds of the UTC day. It spans midnight if end <= start.
struct WaveWindow
{
    std::uint32_t start = 0;
    std::uint32_t end = 0;

    friend bool operator==(const WaveWindow &, const WaveWindow &) = default;
};

// [wave id]. `target` is empty for a wave that only reboots hosts.
struct WaveConfig
{
    WaveId id;
    std::vector<PoolId> pools;
    AbsenceKind action = AbsenceKind::Reboot;
    PoolId target;
    WaveState state = WaveState::Stopped;
    std::optional<WaveWindow> window;

    friend bool operator==(const WaveConfig &, const WaveConfig &) = default;
};

// A configuration document as typed values. Copies share their rows.
struct Configuration
{
    FleetConfig fleet;
    SharedTable<ZoneConfig> zones;
    SharedTable<RackConfig> racks;
    SharedTable<PoolConfig> pools;
    SharedTable<ServiceConfig> services;
    SharedTable<TenantConfig> tenants;
    SharedTable<HostConfig> hosts;
    SharedTable<WaveConfig> waves;

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

}  // namespace poplarstream
