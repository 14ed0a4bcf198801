#pragma once

#include <functional>  // for function
#include <map>  // for map
#include <set>  // for set
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/node/control_duty.hpp"  // for ControlSettings, ControlPorts, PeerView
#include "poplarstream/node/log_clock.hpp"  // for LogClock
#include "poplarstream/node/outbox.hpp"  // for Outbox
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock
#include "poplarstream/node/process_life_cycle.hpp"  // for ProcessState, ProcessEvent
#include "poplarstream/node/worker_table.hpp"  // for WorkerTable
#include "poplarstream/runs/owner_state.hpp"  // for OwnerState
#include "stream_replica.hpp"  // for StreamReplica

namespace poplarstream {

inline constexpr const char *controlStreamName = "control";

// How long an append is repeated while its answer is missing.
inline constexpr Milliseconds appendRetryTimeout{60'000};

// What all parts of the control duty share. Belongs to its thread.
struct ControlCore
{
    ControlCore(ControlSettings controlSettings, ControlPorts controlPorts);

    const ControlSettings settings;
    const ControlPorts ports;
    ProcessClock clock;
    LogClock logClock;
    Outbox outbox;
    StreamReplica<ControlStream> fleet;
    StreamReplica<RunStream> runs;
    OwnerState ownerState;
    WorkerTable workers;
    PeerView peers;
    Random random;
    // Appends to the streams of other zones, by record.
    std::map<RecordId, RunId> pendingArrivals;
    bool drivesWaves = false;
    bool isLogReachable = false;
    ProcessState life = ProcessState::Starting;

    bool isLeaving() const
    {
        return life == ProcessState::Leaving || life == ProcessState::Stopped;
    }

    // Returns whether the event is valid in the present state.
    bool advance(ProcessEvent event)
    {
        const auto entered = next(life, event);
        life = entered.value_or(life);
        return entered.has_value();
    }

    const FleetState &fleetState() const { return fleet.state; }
    const Configuration &configuration() const { return *fleet.state.configuration; }

    // The latest that the log's time can be now.
    TimePoint latestLogTimeNow() const { return latestLogTime(logClock, clock.now()); }

    // Proposes a record of the control stream. Returns its id.
    RecordId propose(ControlBody body);

    // Proposes entries of the run stream, in as few records as possible.
    std::vector<RunRecord> proposeEntries(std::span<const RunEntry> entries);

    // Appends again what has no answer yet.
    void resend();
};

}  // namespace poplarstream
