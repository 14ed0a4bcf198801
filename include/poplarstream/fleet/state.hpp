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

// A granted absence, from its grant until the host is in service again or leaves the configuration.
// `grant` is the offset of the granted request.
struct Absence
{
    Offset grant = 0;
    AbsenceKind kind = AbsenceKind::Reboot;
    PoolId origin;  // the pool of the host at the grant
    PoolId target;
    WaveId wave;
    TimePoint granted;  // by the replay clock
    bool departed = false;  // the reboot or move has begun
    bool moved = false;  // the host is in the target pool
    // The move lends a spare host to a wave: the wave itself does not move hosts to the target.
    bool isLoan = false;
};

// A host of the spare pool that was moved for a wave and has to be moved back. The wave may have
// been removed from the configuration since.
struct HostLoan
{
    PoolId from;
    PoolId to;
    WaveId wave;

    friend bool operator==(const HostLoan &, const HostLoan &) = default;
};

struct FleetHost
{
    std::shared_ptr<const HostConfig> config;  // its `pool` is the present pool
    HostState state = HostState::InService;
    TimePoint since;  // when it entered the state, by the replay clock
    std::optional<Absence> absence;
    std::optional<HostLoan> loan;
    bool quarantined = false;
    std::vector<Decision> decisions;  // at most decisionsPerHost, oldest first
};

// What counts against the budget of a pool. `away` are the hosts of the pool that are not in
// service or lie in a lost zone; `granted` are those among the hosts of the pool with an open
// absence; `incoming` are the hosts of other pools with a granted move to this one.
struct PoolUsage
{
    std::uint32_t hosts = 0;
    std::uint32_t away = 0;
    std::uint32_t granted = 0;
    std::uint32_t incoming = 0;

    friend bool operator==(const PoolUsage &, const PoolUsage &) = default;
};

// A claimed duty. `token` is the offset of the claim; renewals keep it. `expires` is a time of the
// replay clock.
struct LeaseHolder
{
    EntryHostId holder;
    Offset token = 0;
    TimePoint expires;
};

// `done` are the hosts that have done what the wave asks: a reboot, in an absence for this wave or,
// while this one was running, for another; for a wave that only moves, a move to its target.
struct WaveRecord
{
    std::set<HostId> done;
    std::vector<Decision> decisions;  // at most decisionsPerWave, oldest first
};

// The replayed state of the control stream.
struct FleetState
{
    Offset next = 0;  // the offset after the newest applied record
    TimePoint time;  // the replay clock, see advanceClock in replay.hpp
    TimePoint logTime;  // the log's time of the newest applied record
    std::uint64_t version = 0;  // 0 means that there is no configuration
    ConfigDocument document;
    std::shared_ptr<const Configuration> configuration;  // never null
    std::map<HostId, FleetHost> hosts;
    std::map<PoolId, PoolUsage> poolUsage;  // one for each configured pool; follows from the rest
    std::set<ZoneId> lostZones;
    std::map<DutyId, LeaseHolder> leases;
    std::map<WaveId, WaveRecord> waves;  // one for each configured wave
    std::vector<ChangeDecision> changes;  // at most changeDecisions, oldest first
    std::vector<Decision> unknownHostDecisions;  // about hosts that are not configured
    RecentIds recentIds;

    FleetState()
        : configuration(std::make_shared<const Configuration>())
    {}
};

}  // namespace poplarstream
