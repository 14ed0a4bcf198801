#pragma once

#include <functional>  // for function

#include "poplarstream/adapters/peer_transport.hpp"  // for PeerTransport, PeerReply
#include "poplarstream/node/control_duty.hpp"  // for ControlInput, ControlView
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock

namespace poplarstream {

// Sends a run call to an entry host and answers the caller with the reply. The verdict of a call
// that was not sent is "not run"; that of one without a reply is "may have run". Any thread.
void forwardCall(PeerTransport &transport, const PeerAddress &peer, RunCall call, TimePoint now);

// Answers the call without sending it: 503, not run.
void refuseCall(const RunCall &call, std::string_view reason);

// What the answering of requests needs. Used on the threads of the transport.
struct RequestPorts
{
    ProcessClock clock;
    ZoneId ownZone;
    std::size_t maxReplyBytes = 0;
    std::function<bool(ControlInput &&)> send;  // to the control duty
};

// Passes the request on to the control duty, which answers it, or refuses it.
void takeRequest(const RequestPorts &ports, const nlohmann::json &request, const PeerReply &reply);

// The text of the stream's state, if this process has it and it fits into a reply.
Result<std::string> stateText(const ControlView &view, const ZoneId &ownZone,
                              const std::string &stream, std::size_t maxBytes);

}  // namespace poplarstream
