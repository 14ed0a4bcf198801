#include "peer_requests.hpp"

#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "control_core.hpp"  // for controlStreamName
#include "poplarstream/fleet/snapshot.hpp"  // for encodeState
#include "poplarstream/node/caller_request.hpp"  // for errorResponse
#include "poplarstream/node/peer_messages.hpp"  // for peerRequestJson, readPeerRequest
#include "poplarstream/runs/snapshot.hpp"  // for writeState
#include "poplarstream/telemetry/event.hpp"  // for logEvent
#include "poplarstream/telemetry/event_kinds.hpp"  // for internalFault

namespace poplarstream {

namespace {

using nlohmann::json;

constexpr Milliseconds retryAfter{1'000};
constexpr Milliseconds questionTimeout{3'000};
// If the log does not confirm a run in time, the receiver responds at the deadline with the id of
// the run. The margin gives that response time to arrive.
constexpr Milliseconds replyMargin{500};
// Upper bound of the bytes that the reply adds to a state.
constexpr std::size_t stateReplyOverheadBytes = 64;

HttpResponse notRun(std::string_view reason)
{
    return errorResponse(503, Verdict::NotRun, reason, {}, retryAfter);
}

const Reply &replyOf(const RunCall &call)
{
    return std::visit([](const auto &request) -> const Reply & { return request.reply; }, call);
}

std::uint32_t hopsOf(const RunCall &call)
{
    return std::visit([](const auto &request) { return request.hops; }, call);
}

Milliseconds timeoutOf(const RunCall &call, TimePoint now)
{
    const auto *submission = std::get_if<RunSubmission>(&call);
    return submission != nullptr ? submission->respondBy - now + replyMargin : questionTimeout;
}

// The response to the caller: the reply, or "may have run" without a readable reply.
HttpResponse callerResponse(const json *reply)
{
    if (reply != nullptr) {
        auto response = readResponse(*reply);
        if (response) {
            return std::move(response).value();
        }
    }
    return errorResponse(503, Verdict::MayHaveRun,
                         "the entry host of the run's zone did not answer in time, so the call may "
                         "have been carried out",
                         {}, retryAfter);
}

void handleCall(const RequestPorts &ports, RunCall &&call, const PeerReply &reply)
{
    std::visit(
            [&](auto &request) {
                request.reply = [reply](const HttpResponse &response) {
                    reply(responseJson(response));
                };
            },
            call);
    if (!ports.send(std::move(call))) {
        reply(responseJson(notRun("too many requests wait")));
    }
}

void handleStateRequest(const RequestPorts &ports, const StateRequest &request,
                        const PeerReply &reply)
{
    ControlQuery question = [stream = request.stream, ownZone = ports.ownZone,
                             maxBytes = ports.maxReplyBytes, reply](const ControlView &view) {
        reply(stateReplyJson(stateText(view, ownZone, stream, maxBytes)));
    };
    if (!ports.send(std::move(question))) {
        reply(stateReplyJson(Failure{"too many requests wait", ""}));
    }
}

}  // namespace

void refuseCall(const RunCall &call, std::string_view reason)
{
    replyOf(call)(notRun(reason));
}

void forwardCall(PeerTransport &transport, const PeerAddress &peer, RunCall call, TimePoint now)
{
    if (hopsOf(call) >= maxRunCallHops) {
        refuseCall(call, "the entry hosts do not agree yet on the zone of the run");
        return;
    }
    const auto *submission = std::get_if<RunSubmission>(&call);
    if (submission != nullptr && submission->respondBy <= now) {
        refuseCall(call, "the time to accept the run is over");
        return;
    }
    const Reply reply = replyOf(call);
    const bool isSent = transport.sendRequest(
            peer, peerRequestJson(call, now), timeoutOf(call, now),
            [reply](const json *response) { reply(callerResponse(response)); });
    if (!isSent) {
        refuseCall(call, "too many calls to other zones wait");
    }
}

void handlePeerRequest(const RequestPorts &ports, const json &request, const PeerReply &reply)
{
    auto read = readPeerRequest(request, ports.clock.now());
    if (!read) {
        // For example a kind of request from a later release.
        reply(responseJson(errorResponse(502, Verdict::NotRun,
                                         "the other entry host cannot read the request: "
                                                 + read.failure().message)));
        return;
    }
    if (auto *call = std::get_if<RunCall>(&read.value())) {
        handleCall(ports, std::move(*call), reply);
    } else {
        handleStateRequest(ports, std::get<StateRequest>(read.value()), reply);
    }
}

Result<std::string> stateText(const ControlView &view, const ZoneId &ownZone,
                              const std::string &stream, std::size_t maxBytes)
{
    if (!view.isReady) {
        return Failure{"not ready", ""};
    }
    std::string text;
    if (stream == controlStreamName) {
        text = encodeState(view.fleet);
    } else if (stream == "runs-" + ownZone.text() && view.runs.nextOffset > 0) {
        text = writeState(view.runs);
    } else {
        return Failure{"no state of this stream", ""};
    }
    if (text.size() + stateReplyOverheadBytes > maxBytes) {
        const std::string error = fmt::format("the state of {} has {} bytes and fits into no reply",
                                              stream, text.size());
        logEvent(events::internalFault, {{"duty", "peers"}, {"fault", error}});
        return Failure{error, ""};
    }
    return text;
}

}  // namespace poplarstream
