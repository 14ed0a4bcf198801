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

// What this entry host has heard of one worker. Times are local.
struct WorkerEntry
{
    std::optional<WorkerStatus> last;  // the newest that was answered
    TimePoint lastHeard;
    std::optional<TimePoint> unansweredSince;
    std::optional<Offset> lastFailedUnder;  // grant of the last poll without an answer
    std::optional<UsageReport> previousUsage;
    std::optional<TimePoint> lastPolled;
    bool areMinionsHealthy = false;
};

struct WorkerTable
{
    std::map<HostId, WorkerEntry> entries;
};

void recordStatus(WorkerTable &table, const WorkerStatus &status, TimePoint now);

// Drops the entries of hosts that are no longer configured.
void removeUnknownHosts(WorkerTable &table, const FleetState &fleet);

// How often workers are polled. Polling costs about 600 bytes a call on the wire; the limit keeps
// it within the 2 KB a second that an entry host may use for control.
struct PollPolicy
{
    Milliseconds claimPeriod{2'000};  // workers with an open claim of this owner
    Milliseconds absencePeriod{1'000};  // hosts with an absence, by the holder of the wave duty
    Milliseconds sharePeriod{10'000};  // the other workers of this entry host's share
    std::size_t perTick = 64;
    // In a zone of up to this many workers every entry host polls all of them, so that each can
    // place runs on any. In larger ones an entry host places on the workers of its share.
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

// The polls that are due, oldest first; marks them as made.
std::vector<WorkerPoll> takePolls(WorkerTable &table, const PollInput &input,
                                  const PollPolicy &policy, TimePoint now);

// Whether this entry host watches the host: by rendezvous over the live entry hosts of its zone.
bool watches(const PollInput &input, const HostId &host, const ZoneId &hostZone);

// The workers of `zone` for the run deciders. A worker that was not heard yet has boot 0.
FleetView makeRunsView(const WorkerTable &table, const FleetState &fleet, const ZoneId &zone);

// Brings what was heard of the workers up to date in a view that makeRunsView() made from the same
// fleet state. It costs as much as the zone has workers; the whole view, as the fleet has hosts.
void refreshRunsView(FleetView &view, const WorkerTable &table);

// Observations for the wave stepper, sorted by host. `toLogTime` is added to local times.
std::vector<maintenance::HostObservation>
makeObservations(const WorkerTable &table, const FleetState &fleet, Milliseconds toLogTime);

}  // namespace poplarstream
