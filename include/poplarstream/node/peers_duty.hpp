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
    Address listen;  // one-way messages; requests use the next port
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
    ~PeersDuty();
    PeersDuty(const PeersDuty &) = delete;
    PeersDuty &operator=(const PeersDuty &) = delete;

    // Opens the transport and starts the heartbeat; call it before the thread starts.
    Result<Address> listen();

    void forward(EntryHostId peer, RunCall call);
    void askState(std::string stream);
    void tell(std::vector<ZoneId> lostZones, bool isLogReachable);
    void note(MinionEvidence evidence);
    // The endpoints of each service and the hosts, for judging evidence together.
    void setSubjects(std::shared_ptr<const ServingView> view);
    void note(std::vector<PlatformHost> hosts);
    void setLeaving();

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
