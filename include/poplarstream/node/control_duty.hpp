#pragma once

#include <cstdint>  // for uint64_t
#include <functional>  // for function
#include <map>  // for map
#include <memory>  // for shared_ptr
#include <optional>  // for optional
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for EntryHostId, ZoneId, RecordId
#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/membership/zone_reachability.hpp"  // for ZoneChange
#include "poplarstream/node/callers_duty.hpp"  // for MinionEvidence
#include "poplarstream/node/duty_thread.hpp"  // for DutyThread
#include "poplarstream/node/platform_duty.hpp"  // for PlatformEvent
#include "poplarstream/node/run_interface.hpp"  // for RunCall
#include "poplarstream/node/serving_view.hpp"  // for ServingView
#include "poplarstream/node/wave_view.hpp"  // for PoolDemands
#include "poplarstream/node/workers_duty.hpp"  // for WorkerEvent, TimedWorkerCommand, WorkerPoll
#include "poplarstream/runs/runs_state.hpp"  // for RunsState

namespace poplarstream {

struct ControlSettings
{
    EntryHostId self;
    ZoneId zone;
    std::uint64_t incarnation = 0;  // differs between starts of the process
    maintenance::Policy wavePolicy;
};

// The latest view from the peers duty. All lists are sorted and include this process, unless it is
// leaving.
struct PeerView
{
    std::vector<EntryHostId> zoneLive;
    std::vector<EntryHostId> allLive;
    std::map<EntryHostId, ZoneId> zones;  // of all known entry hosts
    std::vector<membership::ZoneChange> zoneChanges;  // due to be proposed
    std::set<MinionId> leavingMinions;
    std::set<HostId> leavingHosts;
};

// A configuration change to publish. `reply` is called once with the outcome, on any thread.
struct ConfigPublication
{
    ConfigChange change;
    std::function<void(struct PublicationOutcome)> reply;
};

enum class PublicationResult {
    InForce,
    Refused,
    Unknown,  // no response from the log in time; the change may still take effect
};

struct PublicationOutcome
{
    PublicationResult result = PublicationResult::Unknown;
    std::uint64_t version = 0;  // in force after the outcome
    RecordId record;
    std::string reason;
};

// The state shown on operator pages. Holds references that are valid only during the query.
struct ControlView
{
    const FleetState &fleet;
    const RunsState &runs;
    const PeerView &peers;
    bool isReady = false;  // a configuration is in force, and the process is not leaving
    bool isLogReachable = false;
    std::optional<Milliseconds> age;  // time since the control stream was last read to its end
    std::optional<EntryHostId> waveLeaseHolder;
    PoolDemands demands;
    std::vector<maintenance::Note> waveNotes;
    std::vector<maintenance::Page> pages;
    TimePoint logTime;  // upper estimate
};

using ControlQuery = std::function<void(const ControlView &)>;

// The demand per pool that the urgent path of this entry host observes.
struct DemandReport
{
    PoolDemands demands;
};

// The state of a stream, encoded by a peer. Used if the log cannot provide it.
struct PeerState
{
    std::string stream;
    std::string text;
};

using ControlInput = std::variant<PlatformEvent, RunCall, WorkerEvent, ConfigPublication,
                                  ControlQuery, PeerView, DemandReport, PeerState>;

// The outputs of the control duty. The functions are called on its thread and must not block.
struct ControlPorts
{
    std::function<void(RecordId, std::string stream, std::string text)> append;
    std::function<void(std::string stream, Offset from)> follow;
    std::function<void(std::vector<TimedWorkerCommand>)> sendCommands;
    std::function<void(std::vector<WorkerPoll>)> poll;
    std::function<void(std::shared_ptr<const HostDirectory>)> setDirectory;
    std::function<void(std::shared_ptr<const ServingView>)> publish;
    // Forwards a run call to an entry host of another zone.
    std::function<void(EntryHostId peer, RunCall call)> forward;
    // Requests the state of a stream from a peer, which arrives as PeerState.
    std::function<void(std::string stream)> requestState;
    // Reports the zones that are lost in the replayed state, and whether the log is reachable.
    std::function<void(std::vector<ZoneId> lostZones, bool isLogReachable)> notifyPeers;
};

// Owns the replayed state and runs the decision modules: follows the streams, proposes records,
// sends commands to workers, and publishes views to the other duties.
class ControlDuty
{
public:
    ControlDuty(DutyThread &thread, ControlSettings settings, ControlPorts ports);
    ~ControlDuty();
    ControlDuty(const ControlDuty &) = delete;
    ControlDuty &operator=(const ControlDuty &) = delete;

    // Starts following the streams. Call before the thread starts.
    void start();

    // Handles one input. Call on the duty's thread only.
    void handle(ControlInput &&input);

    // Releases the leases so that other entry hosts take over at once. `done` is called on the
    // duty's thread once the log holds the release, or after a timeout. Thread-safe.
    void leave(std::function<void()> done);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
