#pragma once

#include <functional>  // for function
#include <map>  // for map
#include <memory>  // for shared_ptr
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/config/settings.hpp"  // for Address, PeerSetting
#include "poplarstream/node/callers_duty.hpp"  // for MinionEvidence
#include "poplarstream/node/control_duty.hpp"  // for PeerView, PeerState, ControlInput
#include "poplarstream/node/duty_thread.hpp"  // for DutyThread

namespace poplarstream {

struct PeersSettings
{
    EntryHostId self;
    ZoneId zone;
    std::uint32_t incarnation = 0;  // differs between starts of the process
    // For one-way messages; requests use the next port. Port 0 picks two consecutive free ports.
    Address listen;
    std::map<EntryHostId, PeerSetting> peers;
};

// Communicates with the other entry hosts: heartbeats and digests, shared evidence on minions and
// hosts, run calls that belong to other zones, and state transfer. Its functions may be called from
// any thread.
class PeersDuty
{
public:
    // `send` passes an input to the control duty and returns false when its mailbox is full.
    PeersDuty(DutyThread &thread, PeersSettings settings,
              std::function<bool(ControlInput &&)> send);
    // The thread must have been stopped.
    ~PeersDuty();
    PeersDuty(const PeersDuty &) = delete;
    PeersDuty &operator=(const PeersDuty &) = delete;

    // Opens the transport and starts the heartbeats; call before the thread starts. Returns the
    // address for one-way messages.
    Result<Address> listen();

    // Replaces the peers of the settings.
    void setPeers(std::map<EntryHostId, PeerSetting> peers);

    // Responds to the call with the reply of the peer. The verdict is "not run" if the call was
    // certainly not sent, and "may have run" if there is no reply.
    void forward(EntryHostId peer, RunCall call);
    // Requests the state of a stream from a live peer, in rotation. A peer that is not ready sends
    // an error, and no state arrives.
    void requestState(std::string stream);
    // Sets the zones that are lost according to the replayed state, and whether this process
    // reaches the log.
    void setLogState(std::vector<ZoneId> lostZones, bool isLogReachable);
    // May be called often: evidence is dropped when the mailbox is full, since it repeats.
    void recordMinionEvidence(MinionEvidence evidence);
    // Sets the minions of each service and the hosts, whose evidence is assessed by group.
    void setSubjects(std::shared_ptr<const ServingView> view);
    void recordPlatformState(std::vector<PlatformHost> hosts);
    // Announces the shutdown to the peers at once, so that they take over from this process.
    void setLeaving();

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
