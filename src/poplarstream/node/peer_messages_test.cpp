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
            .tenant = AccountId("t"),
            .idempotencyKey = "key",
            .payload = std::string("\xff\x00 raw", 6),
            .deadline = timePoint(61'000),
            .respondBy = timePoint(6'000),
            .reply = {},
            .hops = hops};
}

json throughMessagePack(const json &value)
{
    return json::from_msgpack(json::to_msgpack(value));
}

// Guards against a run whose payload, tenant or deadline changes when it is forwarded to another
// zone, whose clock differs.
TEST(PeerMessages, SubmissionRoundTrip)
{
    const json wire =
            throughMessagePack(peerRequestJson(RunCall(exampleSubmission(0)), timePoint(1'000)));
    const auto read = readPeerRequest(wire, timePoint(500'000));
    ASSERT_TRUE(read);
    const auto &call = std::get<RunSubmission>(std::get<RunCall>(read.value()));
    EXPECT_EQ(call.service, ServiceId("invoices"));
    EXPECT_EQ(call.tenant, AccountId("t"));
    EXPECT_EQ(call.idempotencyKey, "key");
    EXPECT_EQ(call.payload, exampleSubmission(0).payload);
    EXPECT_EQ(call.deadline, timePoint(560'000));
    EXPECT_EQ(call.respondBy, timePoint(505'000));
    EXPECT_EQ(call.hops, 1U);
}

// Guards against a forwarding loop between zones whose configurations differ.
TEST(PeerMessages, HopsAreBounded)
{
    const RunCall call = exampleSubmission(maxRunCallHops);
    EXPECT_FALSE(readPeerRequest(peerRequestJson(call, timePoint(0)), timePoint(0)));
}

// Guards against a caller who gets another response than the accepting entry host sent.
TEST(PeerMessages, ResponseRoundTrip)
{
    const HttpResponse response{202, {{"Poplar-Verdict", "not-run"}}, "{}"};
    const auto read = readResponse(throughMessagePack(responseJson(response)));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().status, 202U);
    EXPECT_EQ(headerValue(read.value().headers, "Poplar-Verdict"), "not-run");
    EXPECT_EQ(read.value().body, "{}");
    SCOPED_TRACE("a response with a header that would change the framing is rejected");
    EXPECT_FALSE(readResponse(responseJson({200, {{"a", "b\r\nc: d"}}, ""})));
}

// Guards against an error reply that is read as a state.
TEST(PeerMessages, StateReply)
{
    EXPECT_EQ(readStateReply(throughMessagePack(stateReplyJson(std::string("text")))).value(),
              "text");
    EXPECT_EQ(readStateReply(stateReplyJson(Failure{"why", ""})).failure().message, "why");
}

// Guards against an envelope that uses up much of the 2 KB/s for control traffic.
TEST(PeerMessages, EnvelopeIsSmall)
{
    const membership::Heartbeat heartbeat{EntryHostId("e1"), 1'700'000'000, 5, true, true,
                                          {1, 60'000},       {2},           {}};
    const json wire = peerMessageJson(heartbeat);
    EXPECT_EQ(json::to_msgpack(wire).size(), membership::encode(heartbeat).size() + 3);
    EXPECT_EQ(readPeerMessage(throughMessagePack(wire)).value(), PeerMessage(heartbeat));
}

// Guards against a crash on bytes from a faulty peer or from another release.
TEST(PeerMessages, ArbitraryBytes)
{
    const std::vector<json> valid = {
            peerMessageJson(membership::Heartbeat{EntryHostId("e"), 1, 2, {}, {}, {3}, {4}, {}}),
            peerMessageJson(
                    membership::Digest{EntryHostId("e"), ZoneId("z"), 1, 2, {}, {3}, {}, {}}),
            peerRequestJson(RunCall(exampleSubmission(0)), timePoint(0)),
            peerRequestJson(RunCall(RunQuery{RunId("z-1"), AccountId("t"), {}}), timePoint(0)),
            peerRequestJson(RunCall(RunCancellation{RunId("z-1"), AccountId("t"), {}}),
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
