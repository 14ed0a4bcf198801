#include "poplarstream/adapters/peer_transport.hpp"

#include <atomic>  // for atomic
#include <future>  // for promise, future
#include <stdexcept>  // for runtime_error

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <nlohmann/json.hpp>  // for json
#include <nng/nng.h>  // for nng_send
#include <rapidcheck.h>  // for rc::check

#include <nng/protocol/pipeline0/push.h>  // for nng_push0_open

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedMessagePack

namespace poplarstream {
namespace {

using nlohmann::json;

PeerSettings loopback()
{
    PeerSettings settings;
    settings.listen = {"tcp://127.0.0.1:0", "tcp://127.0.0.1:0"};
    return settings;
}

PeerTransport open(PeerHandlers handlers)
{
    return PeerTransport::open(loopback(), std::move(handlers)).value();
}

// Only a failing test waits this long.
constexpr std::chrono::seconds testTimeout{10};

template <class T>
bool isReady(const std::future<T> &future)
{
    return future.wait_for(testTimeout) == std::future_status::ready;
}

// Messages and replies between two connected entry hosts arrive unchanged.
TEST(PeerTransport, MessagesAndReplies)
{
    std::promise<json> message;
    const PeerTransport server = open({[&](const json &value) { message.set_value(value); },
                                       [](const json &value, const PeerReply &reply) {
                                           reply({{"echo", value}});
                                       }});
    PeerTransport client = open({});
    EXPECT_TRUE(client.post(server.address(), {{"beat", 1}}));
    auto received = message.get_future();
    ASSERT_TRUE(isReady(received));
    EXPECT_EQ(received.get(), json({{"beat", 1}}));
    std::promise<json> reply;
    ASSERT_TRUE(client.sendRequest(
            server.address(), {{"what", "status"}}, Milliseconds{10'000},
            [&](const json *value) { reply.set_value(value ? *value : json()); }));
    auto answered = reply.get_future();
    ASSERT_TRUE(isReady(answered));
    EXPECT_EQ(answered.get(), json({{"echo", {{"what", "status"}}}}));
}

// A request to a peer that does not reply, or does not exist, must still end.
TEST(PeerTransport, RequestsWithoutReplyTimeOut)
{
    const PeerTransport unresponsive = open({{}, [](const json &, const PeerReply &) {}});
    PeerTransport client = open({});
    for (const PeerAddress &peer :
         {unresponsive.address(), PeerAddress{"tcp://127.0.0.1:1", "tcp://127.0.0.1:1"}}) {
        std::promise<bool> ended;
        ASSERT_TRUE(client.sendRequest(peer, 1, Milliseconds{20}, [&](const json *value) {
            ended.set_value(value == nullptr);
        }));
        auto future = ended.get_future();
        ASSERT_TRUE(isReady(future));
        EXPECT_TRUE(future.get());
    }
    EXPECT_EQ(client.counts().requestsFailed, 2U);
}

// Guards against a queue to an unreachable peer that grows without limit or blocks the sender, and
// against requests that are still pending after the transport was destroyed.
TEST(PeerTransport, QueuesAreBounded)
{
    const PeerAddress unreachable{"tcp://127.0.0.1:1", "tcp://127.0.0.1:1"};
    std::atomic<std::size_t> ended{0};  // requests end on several threads
    {
        PeerTransport client = open({});
        int accepted = 0;
        while (accepted < 1000 && client.post(unreachable, 1)) {
            ++accepted;
        }
        EXPECT_GE(accepted, 1);
        EXPECT_LE(accepted, loopback().queuedMessages + 2);
        std::size_t requestsSent = 0;
        while (requestsSent < 1000
               && client.sendRequest(unreachable, 1, Milliseconds{60'000},
                                     [&](const json *) { ++ended; })) {
            ++requestsSent;
        }
        EXPECT_EQ(requestsSent, loopback().pendingRequests);
        EXPECT_FALSE(client.post({"not an address", ""}, 1));
    }
    EXPECT_EQ(ended, loopback().pendingRequests);
}

// Malformed bytes or missing fields from a peer must neither crash the process nor stop receiving.
TEST(PeerTransport, MalformedMessagesAreCountedAndDropped)
{
    std::promise<void> last;
    const PeerTransport server = open({[&](const json &value) {
                                           if (value == json("last")) {
                                               last.set_value();
                                           }
                                           (void)value.at("field");
                                       },
                                       {}});
    nng_socket raw = NNG_SOCKET_INITIALIZER;
    ASSERT_EQ(nng_push0_open(&raw), 0);
    ASSERT_EQ(nng_dial(raw, server.address().oneWay.c_str(), nullptr, 0), 0);
    const std::string last5 = "\xa4last";
    for (std::string bytes : {std::string("\xc1"), std::string(60'000, '\x91'),
                              std::string("\xdd\xff\xff\xff\xff"), std::string(), last5}) {
        ASSERT_EQ(nng_send(raw, bytes.data(), bytes.size(), 0), 0);
    }
    auto future = last.get_future();
    EXPECT_TRUE(isReady(future));
    EXPECT_GE(server.counts().malformed, 4U);
    nng_close(raw);
}

// Arbitrary bytes must not crash the parser.
TEST(PeerTransport, ArbitraryBytes)
{
    EXPECT_FALSE(parseBoundedMessagePack(std::vector<std::uint8_t>(1'000'000, 0x91)));
    EXPECT_TRUE(rc::check("parsing never throws", [](const std::vector<std::uint8_t> &bytes) {
        (void)parseBoundedMessagePack(bytes);
    }));
}

}  // namespace
}  // namespace poplarstream
