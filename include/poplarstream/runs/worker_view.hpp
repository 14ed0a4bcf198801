#pragma once

#include <cstdint>  // for uint8_t, uint64_t
#include <map>  // for map
#include <optional>  // for optional
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for HostId, RackId, ServiceId, ZoneId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/records/run_record.hpp"  // for Resources, FencingToken

namespace poplarstream {

// Whether a worker may get runs. `Away` covers rebooting, moving, failed and unseen hosts.
enum class WorkerCondition : std::uint8_t { Usable, Draining, Quarantined, Away };

// The measured usage of one task.
struct TaskUsage
{
    FencingToken token;
    Resources usage;
};

// A worker's usage report. `at` is the time of the measurement on the reader's clock.
struct UsageReport
{
    TimePoint at;
    Resources total;
    std::vector<TaskUsage> tasks;
};

// A worker of this zone as seen by an entry host. `services` are those of its pool, sorted by id.
// `boot` changes when the worker restarts (0: unknown). `lastHeard` is the time of its last
// response. `drainBy` is the time by which a draining host must be empty.
struct WorkerView
{
    HostId host;
    RackId rack;
    std::vector<ServiceId> services;
    Resources capacity;
    std::uint64_t boot = 0;
    WorkerCondition condition = WorkerCondition::Usable;
    TimePoint lastHeard;
    std::optional<TimePoint> drainBy;
    std::optional<UsageReport> usage;
    std::optional<UsageReport> previousUsage;
};

// The largest worker of another zone for a service, for hand-overs.
struct ZoneOffer
{
    ZoneId zone;
    ServiceId service;
    Resources largest;
};

// The workers of the zone, sorted by host. `isComplete` is false until the configuration and the
// host list have been read; until then, no run is considered unplaceable. The default weight of a
// tenant is 1.
struct FleetView
{
    std::vector<WorkerView> workers;
    std::vector<ZoneOffer> otherZones;
    std::map<AccountId, double> weights;
    bool isComplete = false;
};

// Returns null if the fleet has no such worker.
const WorkerView *findWorker(const FleetView &fleet, const HostId &host);

bool serves(const WorkerView &worker, const ServiceId &service);

bool fitsInto(const Resources &required, const Resources &available);

}  // namespace poplarstream
