#pragma once

#include <functional>  // for function

#include "poplarstream/adapters/peer_transport.hpp"  // for PeerTransport, PeerReply
#include "poplarstream/node/control_duty.hpp"  // for ControlInput, ControlView
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock

namespace poplarstream {

// Forwards a run call to an entry host and responds to the caller with its reply. The verdict is
// "not run" for a call that was not sent, and "may have run" for one without a reply. Any thread.
void forwardCall(PeerTransport &transport, const PeerAddress &peer, RunCall call, TimePoint now);

// Responds to the call without sending it: 503, not run.
void refuseCall(const RunCall &call, std::string_view reason);

// What handling requests needs. Used on the threads of the transport.
struct RequestPorts
{
    ProcessClock clock;
    ZoneId ownZone;
    std::size_t maxReplyBytes = 0;
    std::function<bool(ControlInput &&)> send;  // to the control duty
};

// Passes the request on to the control duty, which replies to it, or replies with an error.
void handlePeerRequest(const RequestPorts &ports, const nlohmann::json &request,
                       const PeerReply &reply);

// The stream's state as text, if this process has it and it fits into a reply.
Result<std::string> stateText(const ControlView &view, const ZoneId &ownZone,
                              const std::string &stream, std::size_t maxBytes);

}  // namespace poplarstream
