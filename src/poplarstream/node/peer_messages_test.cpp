#include "poplarstream/node/peer_messages.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <nlohmann/json.hpp>  // for json
#include <rapidcheck.h>  // for rc::check

namespace poplarstream {
namespace {

using nlohmann::json;

RunSubmission exampleSubmission(std::uint32_t hops)
{
    return {.service = ServiceId("invoices"),
            .tenant = TenantId("t"),
            .idempotencyKey = "key",
            .payload = std::string("\xff\x00 raw", 6),
            .deadline = timePoint(61'000),
            .respondBy = timePoint(6'000),
            .reply = {},
            .hops = hops};
}

json onTheWire(const json &value)
{
    return json::from_msgpack(json::to_msgpack(value));
}

// Guards against a run with another payload, tenant or deadline than the caller gave, because it
// was accepted in another zone whose clock differs.
TEST(PeerMessages, SubmissionSurvives)
{
    const json wire = onTheWire(peerRequestJson(RunCall(exampleSubmission(0)), timePoint(1'000)));
    const auto read = readPeerRequest(wire, timePoint(500'000));
    ASSERT_TRUE(read);
    const auto &call = std::get<RunSubmission>(std::get<RunCall>(read.value()));
    EXPECT_EQ(call.service, ServiceId("invoices"));
    EXPECT_EQ(call.tenant, TenantId("t"));
    EXPECT_EQ(call.idempotencyKey, "key");
    EXPECT_EQ(call.payload, exampleSubmission(0).payload);
    EXPECT_EQ(call.deadline, timePoint(560'000));
    EXPECT_EQ(call.respondBy, timePoint(505'000));
    EXPECT_EQ(call.hops, 1U);
}

// Guards against a call that circles between zones whose configurations differ.
TEST(PeerMessages, HopsAreBounded)
{
    const RunCall call = exampleSubmission(maxRunCallHops);
    EXPECT_FALSE(readPeerRequest(peerRequestJson(call, timePoint(0)), timePoint(0)));
}

// Guards against a caller who gets another answer than the entry host that accepted the run gave.
TEST(PeerMessages, ResponseSurvives)
{
    const HttpResponse response{202, {{"Poplar-Verdict", "not-run"}}, "{}"};
    const auto read = readResponse(onTheWire(responseJson(response)));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().status, 202U);
    EXPECT_EQ(headerValue(read.value().headers, "Poplar-Verdict"), "not-run");
    EXPECT_EQ(read.value().body, "{}");
    SCOPED_TRACE("when a header would change the framing, then the answer is not passed on");
    EXPECT_FALSE(readResponse(responseJson({200, {{"a", "b\r\nc: d"}}, ""})));
}

// Guards against a refusal that is taken for a state.
TEST(PeerMessages, StateReply)
{
    EXPECT_EQ(readStateReply(onTheWire(stateReplyJson(std::string("text")))).value(), "text");
    EXPECT_EQ(readStateReply(stateReplyJson(Failure{"why", ""})).failure().message, "why");
}

// Guards against an envelope that takes a share of the 2 KB/s of control traffic.
TEST(PeerMessages, EnvelopeIsSmall)
{
    const membership::Heartbeat heartbeat{EntryHostId("e1"), 1'700'000'000, 5, true, true,
                                          {1, 60'000},       {2},           {}};
    const json wire = peerMessageJson(heartbeat);
    EXPECT_EQ(json::to_msgpack(wire).size(), membership::encode(heartbeat).size() + 3);
    EXPECT_EQ(readPeerMessage(onTheWire(wire)).value(), PeerMessage(heartbeat));
}

// Guards against a crash by bytes of a faulty peer or of another release.
TEST(PeerMessages, ArbitraryBytes)
{
    const std::vector<json> valid = {
            peerMessageJson(membership::Heartbeat{EntryHostId("e"), 1, 2, {}, {}, {3}, {4}, {}}),
            peerMessageJson(
                    membership::Digest{EntryHostId("e"), ZoneId("z"), 1, 2, {}, {3}, {}, {}}),
            peerRequestJson(RunCall(exampleSubmission(0)), timePoint(0)),
            peerRequestJson(RunCall(RunQuery{RunId("z-1"), TenantId("t"), {}}), timePoint(0)),
            peerRequestJson(RunCall(RunCancellation{RunId("z-1"), TenantId("t"), {}}),
                            timePoint(0)),
            peerRequestJson(StateRequest{"control"}),
            responseJson({200, {{"a", "b"}}, "c"}),
            stateReplyJson(std::string("text"))};
    EXPECT_TRUE(rc::check("reading never throws", [&](std::uint8_t byte) {
        const auto which = *rc::gen::inRange<std::size_t>(0, valid.size());
        std::vector<std::uint8_t> bytes = json::to_msgpack(valid[which]);
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = byte;
        const json changed = json::from_msgpack(bytes, true, false);
        (void)readPeerMessage(changed);
        (void)readPeerRequest(changed, timePoint(0));
        (void)readResponse(changed);
        (void)readStateReply(changed);
    }));
}

}  // namespace
}  // namespace poplarstream
