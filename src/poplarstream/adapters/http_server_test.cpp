#include "poplarstream/adapters/http_server.hpp"

#include <stdexcept>  // for runtime_error

#include <gtest/gtest.h>  // for TEST_F, EXPECT_EQ
#include <rapidcheck.h>  // for rc::check

#include "poplarstream/adapters/http_test_support.hpp"  // for runUntil, RawPeer

namespace poplarstream {
namespace {

std::string post(const std::string &target, const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t at = 0; (at = text.find(part, at)) != text.npos; at += part.size()) {
        ++found;
    }
    return found;
}

struct Received
{
    HttpRequest request;
    HttpRespond respond;
};

// Holds each request until the test answers it.
class HttpServerTest : public testing::Test
{
protected:
    void start(const HttpServerLimits &limits = {})
    {
        auto result = HttpServer::listen(
                io, {"127.0.0.1", 0},
                [this](HttpRequest request, HttpRespond respond) {
                    received.push_back({std::move(request), std::move(respond)});
                },
                limits);
        server.emplace(std::move(result).value());
    }

    std::shared_ptr<RawPeer> connect() { return RawPeer::connect(io, server->port()); }
    bool runUntilReceived(std::size_t requests)
    {
        return runUntil(io, [&] { return received.size() >= requests; });
    }
    bool runUntilClosed(const RawPeer &peer)
    {
        return runUntil(io, [&] { return peer.isClosed; });
    }

    boost::asio::io_context io{1};
    std::optional<HttpServer> server;
    std::vector<Received> received;
};

// A request must not run with part of its body missing.
TEST_F(HttpServerTest, TruncatedBodyIsNotDispatched)
{
    start();
    SCOPED_TRACE("given a client that closes in the middle of the body");
    const auto peer = connect();
    peer->send("POST /w HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabcd");
    peer->endSending();
    ASSERT_TRUE(runUntilClosed(*peer));
    EXPECT_TRUE(received.empty());
    EXPECT_TRUE(peer->has("HTTP/1.1 400"));
    EXPECT_TRUE(peer->has("Poplar-Verdict: not-run"));
    EXPECT_EQ(server->counts().truncated, 1U);
}

// A client must not be able to use unbounded memory.
TEST_F(HttpServerTest, OversizedHeaderAndBodyAreRejected)
{
    HttpServerLimits limits;
    limits.headerBytes = 512;
    limits.bodyBytes = 1000;
    start(limits);
    const std::string chunk = "1f4\r\n" + std::string(500, 'x') + "\r\n";
    const std::vector<std::pair<std::string, std::string>> cases{
            {"GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(1000, 'x') + "\r\n\r\n", " 431 "},
            {post("/w", std::string(1001, 'x')), " 413 "},
            {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk
                     + chunk + "0\r\n\r\n",
             " 413 "}};
    for (const auto &[bytes, status] : cases) {
        SCOPED_TRACE(status);
        const auto peer = connect();
        peer->send(bytes);
        peer->endSending();
        ASSERT_TRUE(runUntilClosed(*peer));
        EXPECT_TRUE(peer->has(status)) << peer->received;
        EXPECT_TRUE(received.empty());
    }
}

// Clients that never finish a request must not hold a connection.
TEST_F(HttpServerTest, SlowSendersTimeOut)
{
    HttpServerLimits limits;
    limits.headerTimeout = limits.bodyTimeout = Milliseconds{10};
    start(limits);
    for (const std::string bytes :
         {"GET / HT", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab"}) {
        SCOPED_TRACE(bytes);
        const auto peer = connect();
        peer->send(bytes);
        ASSERT_TRUE(runUntil(io, [&] { return peer->has("HTTP/1.1 408"); }));
        peer->endSending();
        ASSERT_TRUE(runUntilClosed(*peer));
    }
    EXPECT_TRUE(received.empty());
    EXPECT_EQ(server->counts().timedOut, 2U);
}

// Idle connections must not exhaust the connection limit.
TEST_F(HttpServerTest, IdleConnectionIsClosed)
{
    HttpServerLimits limits;
    limits.idleTimeout = Milliseconds{10};
    start(limits);
    const auto peer = connect();
    ASSERT_TRUE(runUntilClosed(*peer));
    EXPECT_EQ(peer->received, "");
}

// Responses on a pipelined connection must keep the order of the requests.
TEST_F(HttpServerTest, PipelinedRequestsAreAnsweredInOrder)
{
    start();
    SCOPED_TRACE("given three requests sent at once");
    const auto peer = connect();
    peer->send(post("/1", "a") + post("/2", "bb") + post("/3", ""));
    for (std::size_t i = 0; i < 3; ++i) {
        ASSERT_TRUE(runUntilReceived(i + 1));
        io.poll();
        SCOPED_TRACE("then the next one is dispatched only after the response to the previous one");
        ASSERT_EQ(received.size(), i + 1);
        received[i].respond({200, {}, "answer" + received[i].request.target});
        received[i].respond({200, {}, "second answer"});
    }
    ASSERT_TRUE(runUntil(io, [&] { return peer->has("answer/3"); }));
    EXPECT_LT(peer->received.find("answer/1"), peer->received.find("answer/2"));
    EXPECT_LT(peer->received.find("answer/2"), peer->received.find("answer/3"));
    EXPECT_FALSE(peer->has("second answer"));
}

// An error in one handler must neither terminate the process nor leave the client waiting.
TEST_F(HttpServerTest, HandlerErrorsAreAnswered)
{
    auto result = HttpServer::listen(io, {"127.0.0.1", 0},
                                     [](const HttpRequest &request, const HttpRespond &respond) {
                                         if (request.target == "/throw") {
                                             throw std::runtime_error("fault");
                                         }
                                         if (request.target != "/drop") {
                                             respond({200, {}, "fine"});
                                         }
                                     });
    server.emplace(std::move(result).value());
    const auto peer = connect();
    peer->send(post("/throw", "") + post("/drop", "") + post("/ok", ""));
    ASSERT_TRUE(runUntil(io, [&] { return peer->has("fine"); }));
    EXPECT_EQ(count(peer->received, "HTTP/1.1 500"), 2U);
    EXPECT_EQ(count(peer->received, "may-have-run"), 4U) << "in the header and in the body";
    EXPECT_EQ(server->counts().handlerErrors, 2U);
}

// A flood of connections must not exhaust the file descriptors.
TEST_F(HttpServerTest, ConnectionsOverTheLimitAreRefused)
{
    HttpServerLimits limits;
    limits.connections = 1;
    start(limits);
    const auto first = connect();
    ASSERT_TRUE(runUntil(io, [&] { return server->connectionCount() == 1; }));
    const auto second = connect();
    ASSERT_TRUE(runUntilClosed(*second));
    EXPECT_TRUE(second->has("HTTP/1.1 503"));
    first->send(post("/w", ""));
    EXPECT_TRUE(runUntilReceived(1));
}

// A planned shutdown must not drop a request: one in progress, one pipelined after it, and one that
// arrives on an idle connection just after the shutdown began.
TEST_F(HttpServerTest, GracefulShutdownCompletesRequests)
{
    start();
    const auto busy = connect();
    const auto idle = connect();
    busy->send(post("/1", "") + post("/2", ""));
    ASSERT_TRUE(runUntilReceived(1));
    ASSERT_TRUE(runUntil(io, [&] { return server->connectionCount() == 2; }));
    bool isDrained = false;
    SCOPED_TRACE("when the server shuts down");
    server->shutdown([&] { isDrained = true; });
    idle->send(post("/3", ""));
    ASSERT_TRUE(runUntilReceived(2));
    EXPECT_EQ(received[1].request.target, "/3");
    EXPECT_FALSE(isDrained);
    received[0].respond({200, {}, "one"});
    received[1].respond({200, {}, "three"});
    ASSERT_TRUE(runUntilReceived(3));
    received[2].respond({200, {}, "two"});
    ASSERT_TRUE(runUntil(io, [&] { return busy->has("two") && idle->has("three"); }));
    SCOPED_TRACE("then each last response announces the close, and completion is reported");
    EXPECT_EQ(count(busy->received, "Connection: close"), 1U);
    EXPECT_EQ(count(idle->received, "Connection: close"), 1U);
    busy->endSending();
    idle->endSending();
    ASSERT_TRUE(runUntil(io, [&] { return isDrained; }));
    boost::asio::ip::tcp::socket late(io);
    boost::system::error_code error;
    late.connect({boost::asio::ip::address_v4::loopback(), server->port()}, error);
    EXPECT_EQ(error, boost::asio::error::connection_refused);
}

// Arbitrary bytes must neither crash the server nor reach the handler as a request that was not
// sent.
TEST_F(HttpServerTest, ArbitraryBytes)
{
    start();
    const std::string valid = post("/work", "payload");
    const auto servesNextRequest = [&] {
        const std::size_t before = received.size();
        const auto peer = connect();
        peer->send(valid);
        RC_ASSERT(runUntilReceived(before + 1));
        received.back().respond({200, {}, "fine"});
        RC_ASSERT(runUntil(io, [&] { return peer->has("fine"); }));
    };
    EXPECT_TRUE(rc::check("the server answers the next request", [&](const std::string &noise) {
        const auto cut = *rc::gen::inRange<std::size_t>(0, valid.size() + 1);
        const auto skip = *rc::gen::inRange<std::size_t>(0, 3);
        const auto peer = connect();
        peer->send(valid.substr(0, cut) + noise + valid.substr(std::min(valid.size(), cut + skip)));
        peer->endSending();
        const std::size_t before = received.size();
        RC_ASSERT(runUntil(io, [&] { return peer->isClosed || received.size() > before; }));
        if (received.size() > before) {
            const HttpRequest &request = received.back().request;
            // Beast accepts a list of equal lengths, even with empty items as in ",7".
            const auto length = headerValue(request.headers, "Content-Length");
            const std::size_t digits = length ? length->find_first_of("0123456789") : 0;
            // Evaluated outside of the macro, which does not short-circuit.
            const bool isWhole =
                    !length
                    || std::stoul(std::string(length->substr(digits))) == request.body.size();
            RC_ASSERT(isWhole);
        }
        // A request pipelined after this one must not be counted in the next case.
        RC_ASSERT(runUntil(io, [&] {
            for (const Received &item : std::exchange(received, {})) {
                item.respond({200, {}, "fine"});
            }
            return peer->isClosed;
        }));
        servesNextRequest();
    }));
}

}  // namespace
}  // namespace poplarstream
