#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <map>  // for map
#include <memory>  // for shared_ptr
#include <optional>  // for optional
#include <set>  // for set
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/config/configuration.hpp"  // for Configuration, HostConfig
#include "poplarstream/config/document.hpp"  // for ConfigDocument
#include "poplarstream/fleet/decision.hpp"  // for Decision, ChangeDecision
#include "poplarstream/fleet/host_life_cycle.hpp"  // for HostState
#include "poplarstream/fleet/recent_ids.hpp"  // for RecentIds

namespace poplarstream {

// A granted absence. It lasts until the host is in service again or is removed from the
// configuration. `grant` is the offset of the granted request.
struct Absence
{
    Offset grant = 0;
    AbsenceKind kind = AbsenceKind::Reboot;
    PoolId origin;  // the pool of the host at the grant
    PoolId target;
    WaveId wave;
    TimePoint granted;  // replay clock
    bool departed = false;  // the reboot or move has begun
    bool moved = false;  // the host is in the target pool
    // The move lends a spare host to a wave that does not itself move hosts to the target.
    bool isLoan = false;
};

// The loan of a host of the spare pool to a wave; the host has to be moved back. The wave may have
// been removed from the configuration in the meantime.
struct HostLoan
{
    PoolId from;
    PoolId to;
    WaveId wave;

    friend bool operator==(const HostLoan &, const HostLoan &) = default;
};

struct FleetHost
{
    std::shared_ptr<const HostConfig> config;  // its `pool` is the current pool
    HostState state = HostState::InService;
    TimePoint since;  // when the host entered the state, replay clock
    std::optional<Absence> absence;
    std::optional<HostLoan> loan;
    bool quarantined = false;
    std::vector<Decision> decisions;  // at most maxDecisionsPerHost, oldest first
};

// What counts against the budget of a pool. `away` counts its hosts that are not in service or are
// in a lost zone, `granted` its hosts with a granted absence that has not ended, and `incoming` the
// hosts of other pools with a granted move to this one.
struct PoolUsage
{
    std::uint32_t hosts = 0;
    std::uint32_t away = 0;
    std::uint32_t granted = 0;
    std::uint32_t incoming = 0;

    friend bool operator==(const PoolUsage &, const PoolUsage &) = default;
};

// The holder of a leader lease. `token` is the offset of the claim; renewals keep it. `expires` is
// a time of the replay clock.
struct LeaseHolder
{
    EntryHostId holder;
    Offset token = 0;
    TimePoint expires;
};

// `done` are the hosts that have completed the wave. For a wave that reboots, the host was rebooted
// in an absence for this wave, or for another wave while this one was running. For a wave that only
// moves, the host was moved to its target.
struct WaveHistory
{
    std::set<HostId> done;
    std::vector<Decision> decisions;  // at most maxDecisionsPerWave, oldest first
};

// The state of the fleet, replayed from the control stream.
struct FleetState
{
    Offset next = 0;  // the offset after the newest applied record
    TimePoint time;  // the replay clock, see advanceClock in replay.hpp
    TimePoint logTime;  // log time of the newest applied record
    std::uint64_t version = 0;  // 0 if there is no configuration yet
    ConfigDocument document;
    std::shared_ptr<const Configuration> configuration;  // never null
    std::map<HostId, FleetHost> hosts;
    std::map<PoolId, PoolUsage> poolUsage;  // one for each configured pool; derived
    std::set<ZoneId> lostZones;
    std::map<DutyId, LeaseHolder> leases;
    std::map<WaveId, WaveHistory> waves;  // one for each configured wave
    std::vector<ChangeDecision> changes;  // at most maxChangeDecisions, oldest first
    std::vector<Decision> unknownHostDecisions;  // at most maxUnknownHostDecisions
    RecentIds recentIds;

    FleetState()
        : configuration(std::make_shared<const Configuration>())
    {}
};

}  // namespace poplarstream
