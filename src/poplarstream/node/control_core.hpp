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

// How long an append is retried while its outcome is unknown.
inline constexpr Milliseconds appendRetryTimeout{60'000};

// State shared by the parts of the control duty. Confined to its thread.
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
    // Runs whose arrival is being appended to the stream of another zone, by record.
    std::map<RecordId, RunId> pendingArrivals;
    bool drivesWaves = false;
    bool isLogReachable = false;
    ProcessState processState = ProcessState::Starting;

    bool isLeaving() const
    {
        return processState == ProcessState::Leaving || processState == ProcessState::Stopped;
    }

    // Applies the event. Returns false if it is invalid in the current state.
    bool advance(ProcessEvent event)
    {
        const auto entered = next(processState, event);
        processState = entered.value_or(processState);
        return entered.has_value();
    }

    const FleetState &fleetState() const { return fleet.state; }
    const Configuration &configuration() const { return *fleet.state.configuration; }

    // The upper bound of the current log time.
    TimePoint latestLogTimeNow() const { return latestLogTime(logClock, clock.now()); }

    // Proposes a record on the control stream and returns its id.
    RecordId propose(ControlBody body);

    // Proposes entries on the run stream, batched into as few records as possible.
    std::vector<RunRecord> proposeEntries(std::span<const RunEntry> entries);

    // Retries the appends whose outcome is unknown.
    void resend();
};

}  // namespace poplarstream
