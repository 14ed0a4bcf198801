#pragma once

#include <map>  // for map
#include <optional>  // for optional
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for HostId, EntryHostId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/maintenance/wave_step.hpp"  // for HostObservation
#include "poplarstream/node/workers_duty.hpp"  // for WorkerStatus, WorkerPoll
#include "poplarstream/runs/worker_view.hpp"  // for FleetView

namespace poplarstream {

// What this entry host knows about one worker from its polls. Times are local.
struct WorkerEntry
{
    std::optional<WorkerStatus> last;  // newest status with a response
    TimePoint lastHeard;
    std::optional<TimePoint> unansweredSince;
    std::optional<Offset> lastFailedGrant;  // grant of the last poll without a response
    std::optional<UsageReport> previousUsage;
    std::optional<TimePoint> lastPolled;
    bool areMinionsHealthy = false;
};

struct WorkerTable
{
    std::map<HostId, WorkerEntry> entries;
};

void recordStatus(WorkerTable &table, const WorkerStatus &status, TimePoint now);

// Removes the entries of hosts that are no longer configured.
void removeUnknownHosts(WorkerTable &table, const FleetState &fleet);

// How often workers are polled. A poll takes about 600 bytes on the wire. The limit per tick keeps
// polling within the 2 KB per second that an entry host may use for control.
struct PollPolicy
{
    Milliseconds claimPeriod{2'000};  // workers with an open claim of this owner
    Milliseconds absencePeriod{1'000};  // absent hosts, polled by the holder of the fleet lease
    Milliseconds sharePeriod{10'000};  // the other workers of this entry host's share
    std::size_t maxPollsPerTick = 64;
    // In zones with at most this many workers every entry host polls all of them and can place runs
    // on any. In larger zones an entry host places runs on the workers of its share.
    std::size_t pollAllUpTo = 24;
};

struct PollInput
{
    const FleetState &fleet;
    ZoneId zone;
    EntryHostId self;
    std::vector<EntryHostId> zonePeers;  // live entry hosts of the zone, self included
    std::vector<HostId> claimed;  // workers with open claims of this owner
    std::size_t zoneWorkers = 0;
    bool drivesWaves = false;
};

// Returns the polls that are due, oldest first, and marks them as made.
std::vector<WorkerPoll> collectDuePolls(WorkerTable &table, const PollInput &input,
                                        const PollPolicy &policy, TimePoint now);

// Whether the host is in this entry host's share, by rendezvous hashing over the live entry hosts
// of its zone.
bool isInOwnShare(const PollInput &input, const HostId &host, const ZoneId &hostZone);

// The workers of `zone` as input for run decisions. A worker that has not responded yet has boot 0.
FleetView makeRunsView(const WorkerTable &table, const FleetState &fleet, const ZoneId &zone);

// Updates the worker statuses in a view that makeRunsView() built from the same fleet state. The
// cost grows with the workers of the zone, that of makeRunsView() with the hosts of the fleet.
void refreshRunsView(FleetView &view, const WorkerTable &table);

// Observations for the wave stepper, sorted by host. Adding `toLogTime` turns a local time into log
// time.
std::vector<maintenance::HostObservation>
makeObservations(const WorkerTable &table, const FleetState &fleet, Milliseconds toLogTime);

}  // namespace poplarstream
