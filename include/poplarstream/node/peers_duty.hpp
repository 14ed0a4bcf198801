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
    std::uint32_t incarnation = 0;  // grows with each start: seconds since the epoch
    // One-way messages; requests use the next port. Port 0 picks two free ports.
    Address listen;
    std::map<EntryHostId, PeerSetting> peers;
};

// The duty that talks to the other entry hosts: heartbeats and digests, combined evidence on
// endpoints, run calls that belong to other zones, and state transfer. Its functions may be called
// from any thread.
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

    // Opens the transport and starts the heartbeat; call it before the thread starts. Returns the
    // address of the one-way messages.
    Result<Address> listen();

    // Replaces the peers of the settings.
    void setPeers(std::map<EntryHostId, PeerSetting> peers);

    // Answers the call with the reply of the peer. A call that was certainly not sent is answered
    // as not run, one without a reply as may-have-run.
    void forward(EntryHostId peer, RunCall call);
    // Asks a live peer, another one each time. A peer that is not ready gives no answer.
    void askState(std::string stream);
    // The zones that are lost by the replayed state, and whether this process reaches the log.
    void tell(std::vector<ZoneId> lostZones, bool isLogReachable);
    // May be called often: evidence that a full mailbox refuses is dropped, since it repeats.
    void note(MinionEvidence evidence);
    // The endpoints of each service and the hosts, for judging evidence together.
    void setSubjects(std::shared_ptr<const ServingView> view);
    void note(std::vector<PlatformHost> hosts);
    // Tells the peers at once, so that they take over the duties of this process.
    void setLeaving();

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
