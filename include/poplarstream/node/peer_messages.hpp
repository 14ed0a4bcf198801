#pragma once

#include <string>  // for string
#include <variant>  // for variant

#include <nlohmann/json_fwd.hpp>  // for json

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/membership/messages.hpp"  // for Heartbeat, Digest
#include "poplarstream/node/run_interface.hpp"  // for RunCall

namespace poplarstream {

// One-way messages. The encoded bytes are one MessagePack extension whose type tells the kinds
// apart, which adds 3 bytes (4 above 255).
using PeerMessage = std::variant<membership::Heartbeat, membership::Digest>;

nlohmann::json peerMessageJson(const PeerMessage &message);
Result<PeerMessage> readPeerMessage(const nlohmann::json &json);

// Asks for the state of a stream as text.
struct StateRequest
{
    std::string stream;
};

// A request between entry hosts. The reply function of a call is not part of it.
using PeerRequest = std::variant<RunCall, StateRequest>;

// Deadlines travel as remaining milliseconds, so that no clock is compared. A call counts one hop
// more at the receiver.
nlohmann::json peerRequestJson(const RunCall &call, TimePoint now);
nlohmann::json peerRequestJson(const StateRequest &request);
Result<PeerRequest> readPeerRequest(const nlohmann::json &json, TimePoint now);

nlohmann::json responseJson(const HttpResponse &response);
Result<HttpResponse> readResponse(const nlohmann::json &json);

// The state, or the reason why it is not given.
nlohmann::json stateReplyJson(const Result<std::string> &text);
Result<std::string> readStateReply(const nlohmann::json &json);

}  // namespace poplarstream
