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
#include "poplarstream/node/workers_duty.hpp"  // for WorkerEvent, WorkerOrder, WorkerPoll
#include "poplarstream/runs/runs_state.hpp"  // for RunsState

namespace poplarstream {

struct ControlSettings
{
    EntryHostId self;
    ZoneId zone;
    std::uint64_t incarnation = 0;  // differs between starts of the process
    maintenance::Policy wavePolicy;
};

// What the peers duty last told. All lists are sorted and hold this process, unless it is leaving.
struct PeerView
{
    std::vector<EntryHostId> zoneLive;
    std::vector<EntryHostId> allLive;
    std::map<EntryHostId, ZoneId> zones;  // of all known entry hosts
    std::vector<membership::ZoneChange> zoneChanges;  // to propose now
    std::set<MinionId> leavingMinions;
    std::set<HostId> leavingHosts;
};

// A change of the configuration, to be published. `reply` is called once with the outcome; any
// thread must be able to call it.
struct ConfigPublication
{
    ConfigChange change;
    std::function<void(struct PublicationOutcome)> reply;
};

enum class PublicationResult {
    InForce,
    Refused,
    Unknown,  // the log did not answer in time; the change may still take effect
};

struct PublicationOutcome
{
    PublicationResult result = PublicationResult::Unknown;
    std::uint64_t version = 0;  // in force after the outcome
    RecordId record;
    std::string reason;
};

// What the control duty shows to operators' pages. Valid only during the call that gets it.
struct ControlView
{
    const FleetState &fleet;
    const RunsState &runs;
    const PeerView &peers;
    bool isReady = false;  // a configuration is in force and both streams have been read
    bool isLogReachable = false;
    std::optional<Milliseconds> age;  // since the control stream was last read to its end
    std::optional<EntryHostId> waveLeaseHolder;
    PoolDemands demands;
    std::vector<maintenance::Note> waveNotes;
    std::vector<maintenance::Page> pages;
    TimePoint logTime;  // estimate
};

using ControlQuery = std::function<void(const ControlView &)>;

// The load that this entry host sees of the pools, from the urgent path.
struct DemandReport
{
    PoolDemands demands;
};

// Takes the state of another process, when the log cannot give it.
struct PeerState
{
    std::string stream;
    std::string text;
};

using ControlInput = std::variant<PlatformEvent, RunCall, WorkerEvent, ConfigPublication,
                                  ControlQuery, PeerView, DemandReport, PeerState>;

// What the control duty does to the others. The functions are called on its thread and must not
// block.
struct ControlPorts
{
    std::function<void(RecordId, std::string stream, std::string text)> append;
    std::function<void(std::string stream, Offset from)> follow;
    std::function<void(std::vector<WorkerOrder>)> sendCommands;
    std::function<void(std::vector<WorkerPoll>)> poll;
    std::function<void(std::shared_ptr<const HostDirectory>)> setDirectory;
    std::function<void(std::shared_ptr<const ServingView>)> publish;
    // Passes a run call on to an entry host of another zone.
    std::function<void(EntryHostId peer, RunCall call)> forward;
    // Asks a peer for the state of a stream; the answer comes as PeerState.
    std::function<void(std::string stream)> requestState;
    // Tells which zones are lost by the replayed state, and whether the log is reachable.
    std::function<void(std::vector<ZoneId> lostZones, bool isLogReachable)> notifyPeers;
};

// The duty that owns the replayed state and runs the deciders: it follows the streams, proposes
// records, gives commands to workers, and publishes views to the other duties.
class ControlDuty
{
public:
    ControlDuty(DutyThread &thread, ControlSettings settings, ControlPorts ports);
    ~ControlDuty();
    ControlDuty(const ControlDuty &) = delete;
    ControlDuty &operator=(const ControlDuty &) = delete;

    // Starts to follow the streams. Call before the thread starts.
    void start();

    // Handles one input, on the duty's thread.
    void handle(ControlInput &&input);

    // Gives up leases so that others take over at once; `done` is called on the duty's thread when
    // the log holds that, or after a short time without an answer. Any thread.
    void leave(std::function<void()> done);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
