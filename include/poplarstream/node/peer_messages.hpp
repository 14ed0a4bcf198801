#pragma once

#include <string>  // for string
#include <variant>  // for variant

#include <nlohmann/json_fwd.hpp>  // for json

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/membership/messages.hpp"  // for Heartbeat, Digest
#include "poplarstream/node/run_interface.hpp"  // for RunCall

namespace poplarstream {

// One-way messages. A message is encoded as one MessagePack extension whose type is the kind of the
// message, which adds 3 bytes (4 if the content exceeds 255 bytes).
using PeerMessage = std::variant<membership::Heartbeat, membership::Digest>;

nlohmann::json peerMessageJson(const PeerMessage &message);
Result<PeerMessage> readPeerMessage(const nlohmann::json &json);

// Requests the state of a stream as text.
struct StateRequest
{
    std::string stream;
};

// A request between entry hosts. The reply function of a call is not transmitted.
using PeerRequest = std::variant<RunCall, StateRequest>;

// Deadlines are sent as remaining milliseconds, so that clocks of different hosts are never
// compared. The encoded call has one hop more than `call`.
nlohmann::json peerRequestJson(const RunCall &call, TimePoint now);
nlohmann::json peerRequestJson(const StateRequest &request);
Result<PeerRequest> readPeerRequest(const nlohmann::json &json, TimePoint now);

nlohmann::json responseJson(const HttpResponse &response);
Result<HttpResponse> readResponse(const nlohmann::json &json);

// The state, or the reason why it is not available.
nlohmann::json stateReplyJson(const Result<std::string> &text);
Result<std::string> readStateReply(const nlohmann::json &json);

}  // namespace poplarstream
