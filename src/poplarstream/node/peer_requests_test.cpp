#include "peer_requests.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/fleet/snapshot.hpp"  // for encodeState
#include "poplarstream/node/peer_messages.hpp"  // for peerRequestJson, readResponse
#include "poplarstream/runs/snapshot.hpp"  // for writeState

namespace poplarstream {
namespace {

constexpr std::size_t largeReplyBytes = 1'000'000;

ControlView viewOf(const FleetState &fleet, const RunsState &runs, const PeerView &peers,
                   bool isReady)
{
    return {.fleet = fleet, .runs = runs, .peers = peers, .isReady = isReady};
}

// Guards against a starting process that gets the state of another zone, an empty state of a
// process that is not ready, or a reply larger than the transport allows.
TEST(PeerRequests, StateText)
{
    FleetState fleet;
    RunsState runs;
    const PeerView peers;
    const ZoneId zone("z");
    const ControlView ready = viewOf(fleet, runs, peers, true);
    EXPECT_EQ(stateText(ready, zone, "control", largeReplyBytes).value(), encodeState(fleet));
    EXPECT_FALSE(stateText(ready, zone, "control", encodeState(fleet).size()));
    EXPECT_FALSE(stateText(viewOf(fleet, runs, peers, false), zone, "control", largeReplyBytes));
    EXPECT_FALSE(stateText(ready, zone, "runs-z", largeReplyBytes));
    runs.nextOffset = 3;
    EXPECT_EQ(stateText(ready, zone, "runs-z", largeReplyBytes).value(), writeState(runs));
    EXPECT_FALSE(stateText(ready, zone, "runs-y", largeReplyBytes));
}

// Guards against a caller that waits until its deadline, or gets the verdict "may have run",
// although the other entry host did not accept the call.
TEST(PeerRequests, RejectedImmediately)
{
    const RequestPorts fullMailbox{.maxReplyBytes = largeReplyBytes,
                                   .send = [](ControlInput &&) { return false; }};
    std::vector<HttpResponse> responses;
    const PeerReply reply = [&](const nlohmann::json &json) {
        responses.push_back(readResponse(json).value());
    };
    const RunQuery question{.run = RunId("z-1"), .tenant = AccountId("t"), .reply = {}};
    handlePeerRequest(fullMailbox, peerRequestJson(RunCall(question), timePoint(0)), reply);
    handlePeerRequest(fullMailbox, nlohmann::json::array({99, "a later release"}), reply);
    ASSERT_EQ(responses.size(), 2U);
    for (const HttpResponse &response : responses) {
        EXPECT_EQ(headerValue(response.headers, "Poplar-Verdict"), "not-run");
    }
}

}  // namespace
}  // namespace poplarstream
