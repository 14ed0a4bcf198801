#include "poplarstream/adapters/http_client.hpp"

#include <gtest/gtest.h>  // for TEST_F, EXPECT_EQ

#include "poplarstream/adapters/http_test_support.hpp"  // for runUntil, RawServer

namespace poplarstream {
namespace {

std::string okResponse(const std::string &body, const std::string &headers = "")
{
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

// Tests a client against a server whose bytes are written by the test.
class HttpClientTest : public testing::Test
{
protected:
    HttpClientTest() { limits.connectionsPerEndpoint = 2; }

    HttpClient &client()
    {
        if (!client_) {
            client_.emplace(io, limits);
        }
        return *client_;
    }

    // Sends `GET /N`, where N is the index of its outcome.
    std::uint64_t send(Milliseconds deadline = Milliseconds{5000}, const std::string &echo = "",
                       std::function<bool()> mayWrite = {})
    {
        const std::size_t index = outcomes.size();
        outcomes.emplace_back();
        HttpRequest request{"GET", "/" + std::to_string(index), {}, {}, {}};
        request.headers.push_back({"Poplar-Request-Id", "r" + std::to_string(index)});
        return client().send(endpoint, request, {deadline, echo, std::move(mayWrite)},
                             [this, index](HttpOutcome out) {
                                 EXPECT_FALSE(outcomes[index]) << "called twice";
                                 outcomes[index] = std::move(out);
                             });
    }

    bool runUntilEnded(std::size_t index)
    {
        return runUntil(io, [&] { return outcomes[index].has_value(); });
    }
    bool runUntilReceived(std::size_t peer, const std::string &text)
    {
        return runUntil(
                io, [&] { return server.peers.size() > peer && server.peers[peer]->has(text); });
    }
    void expect(std::size_t index, HttpDelivery delivery, HttpError error)
    {
        EXPECT_EQ(outcomes[index]->delivery, delivery);
        EXPECT_EQ(outcomes[index]->error, error) << httpErrorText(outcomes[index]->error);
    }

    boost::asio::io_context io{1};
    HttpClientLimits limits;
    RawServer server{io};
    HttpEndpoint endpoint{"127.0.0.1", server.port()};
    std::vector<std::optional<HttpOutcome>> outcomes;

private:
    std::optional<HttpClient> client_;
};

// A refused connection must not be reported as a request that may have run.
TEST_F(HttpClientTest, RefusedConnection)
{
    server.acceptor.close();
    send();
    ASSERT_TRUE(runUntilEnded(0));
    expect(0, HttpDelivery::NotSent, HttpError::Refused);
}

// A connect must not last as long as the kernel's own timeout.
TEST_F(HttpClientTest, ConnectTimesOut)
{
    SCOPED_TRACE("given a listener with a full backlog");
    boost::asio::ip::tcp::acceptor full(io);
    full.open(boost::asio::ip::tcp::v4());
    full.bind({boost::asio::ip::address_v4::loopback(), 0});
    full.listen(0);
    std::vector<boost::asio::ip::tcp::socket> fillers;
    for (int i = 0; i < 4; ++i) {
        fillers.emplace_back(io, boost::asio::ip::tcp::v4());
        fillers.back().async_connect(full.local_endpoint(), [](boost::system::error_code) {});
    }
    limits.connectTimeout = Milliseconds{10};
    endpoint.port = full.local_endpoint().port();
    send();
    ASSERT_TRUE(runUntilEnded(0));
    expect(0, HttpDelivery::NotSent, HttpError::ConnectTimeout);
}

// The late response to a request that timed out must not be delivered to the next request.
TEST_F(HttpClientTest, LateResponseIsDroppedWithItsConnection)
{
    limits.connectionsPerEndpoint = 1;
    send(Milliseconds{100});
    send();
    ASSERT_TRUE(runUntilEnded(0));
    expect(0, HttpDelivery::MayHaveBeenSent, HttpError::DeadlinePassed);
    server.peers[0]->send(okResponse("late"));
    ASSERT_TRUE(runUntilReceived(1, "GET /1 "));
    server.peers[1]->send(okResponse("own"));
    ASSERT_TRUE(runUntilEnded(1));
    EXPECT_EQ(outcomes[1]->response.body, "own");
    EXPECT_TRUE(runUntil(io, [&] { return server.peers[0]->isClosed; }));
}

// When all connections have become unresponsive, requests must not lose a deadline on each in turn.
TEST_F(HttpClientTest, SilenceOfOneConnectionCondemnsThoseNotHeardOfSince)
{
    SCOPED_TRACE("given two idle connections");
    send();
    send();
    ASSERT_TRUE(runUntilReceived(0, "GET /"));
    ASSERT_TRUE(runUntilReceived(1, "GET /"));
    server.peers[0]->send(okResponse("a"));
    server.peers[1]->send(okResponse("b"));
    ASSERT_TRUE(runUntilEnded(0) && runUntilEnded(1));
    {
        SCOPED_TRACE("when a call on one of them times out");
        send(Milliseconds{20});
        ASSERT_TRUE(runUntilEnded(2));
        expect(2, HttpDelivery::MayHaveBeenSent, HttpError::DeadlinePassed);
        {
            SCOPED_TRACE("then the next call uses a new connection");
            send();
            ASSERT_TRUE(runUntilReceived(2, "GET /3 "));
            server.peers[2]->send(okResponse("c"));
            ASSERT_TRUE(runUntilEnded(3));
            EXPECT_TRUE(runUntil(
                    io, [&] { return server.peers[0]->isClosed && server.peers[1]->isClosed; }));
        }
    }
}

// Guards against a second deadline that is lost on a connection that went silent with the first
// one, though it had responded after the first call was made.
TEST_F(HttpClientTest, SilenceOfOneConnectionCondemnsThoseNotHeardOfLately)
{
    SCOPED_TRACE("given a call without a response, and a connection that responded beside it");
    send(Milliseconds{1500});
    ASSERT_TRUE(runUntilReceived(0, "GET /0 "));
    send();
    ASSERT_TRUE(runUntilReceived(1, "GET /1 "));
    server.peers[1]->send(okResponse("a"));
    ASSERT_TRUE(runUntilEnded(1));
    {
        SCOPED_TRACE("when the call times out");
        ASSERT_TRUE(runUntilEnded(0));
        expect(0, HttpDelivery::MayHaveBeenSent, HttpError::DeadlinePassed);
        {
            SCOPED_TRACE("then the next call uses a new connection");
            send();
            ASSERT_TRUE(runUntilReceived(2, "GET /2 "));
            EXPECT_FALSE(server.peers[1]->has("GET /2 "));
        }
    }
}

// A request must not be delivered after it timed out: an orderly close would still send its bytes.
TEST_F(HttpClientTest, TimedOutRequestIsCancelledByReset)
{
    send(Milliseconds{50});
    ASSERT_TRUE(runUntilEnded(0));
    expect(0, HttpDelivery::MayHaveBeenSent, HttpError::DeadlinePassed);
    ASSERT_TRUE(runUntil(io, [&] { return !server.peers.empty() && server.peers[0]->isClosed; }));
    EXPECT_TRUE(server.peers[0]->isReset);
}

// The same when the client is destroyed in the middle of a request.
TEST_F(HttpClientTest, DestroyedClientCancelsRequestsByReset)
{
    auto ending = std::make_unique<HttpClient>(io, limits);
    ending->send(endpoint, {"GET", "/", {}, {}, {}}, {Milliseconds{5000}, {}},
                 [](const HttpOutcome &) {});
    ASSERT_TRUE(runUntilReceived(0, "GET / "));
    ending.reset();
    ASSERT_TRUE(runUntil(io, [&] { return server.peers[0]->isClosed; }));
    EXPECT_TRUE(server.peers[0]->isReset);
}

// A second response on an idle connection must not be taken for the response to the next request,
// whether it arrives together with the first or later.
TEST_F(HttpClientTest, UnexpectedResponseIsNotReused)
{
    for (const bool isTogether : {true, false}) {
        SCOPED_TRACE(isTogether);
        const std::size_t peer = server.peers.size();
        const std::size_t index = outcomes.size();
        send();
        ASSERT_TRUE(runUntilReceived(peer, "GET /"));
        server.peers[peer]->send(okResponse("first") + (isTogether ? okResponse("stray") : ""));
        ASSERT_TRUE(runUntilEnded(index));
        if (!isTogether) {
            server.peers[peer]->send(okResponse("stray"));
        }
        send();
        ASSERT_TRUE(runUntilReceived(peer + 1, "GET /"));
        server.peers[peer + 1]->send(okResponse("own", "Connection: close\r\n"));
        ASSERT_TRUE(runUntilEnded(index + 1));
        EXPECT_EQ(outcomes[index + 1]->response.body, "own");
    }
    EXPECT_EQ(client().counts().staleConnections, 2U);
}

// Guards against a false may-have-run: a request must not be written to a connection that the
// server has already closed.
TEST_F(HttpClientTest, ServerClosesBetweenRequests)
{
    send();
    ASSERT_TRUE(runUntilReceived(0, "GET /0 "));
    server.peers[0]->send(okResponse("one"));
    ASSERT_TRUE(runUntilEnded(0));
    server.peers[0]->socket.close();
    send();
    ASSERT_TRUE(runUntilReceived(1, "GET /1 "));
    server.peers[1]->send(okResponse("two"));
    ASSERT_TRUE(runUntilEnded(1));
    expect(1, HttpDelivery::Answered, HttpError::None);
}

// Guards against a false not-run: a request whose bytes were sent may have run.
TEST_F(HttpClientTest, ServerClosesAfterTheRequest)
{
    for (const std::string &bytes : {std::string(), okResponse("long").substr(0, 25)}) {
        SCOPED_TRACE(bytes);
        const std::size_t index = outcomes.size();
        send();
        ASSERT_TRUE(runUntilReceived(index, "GET /"));
        server.peers[index]->send(bytes);
        server.peers[index]->endSending();
        ASSERT_TRUE(runUntilEnded(index));
        expect(index, HttpDelivery::MayHaveBeenSent, HttpError::ConnectionLost);
    }
}

// Responses that are incomplete, not HTTP, or for another request are not delivered.
TEST_F(HttpClientTest, InvalidResponsesAreNotDelivered)
{
    const std::vector<std::string> responses{
            "HTTP/1.1 200 OK\r\nPoplar-Request-Id: r0\r\n\r\nunbounded", "nonsense\r\n\r\n",
            okResponse("other", "Poplar-Request-Id: r9\r\n"), okResponse("none"),
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"};
    for (std::size_t i = 0; i < responses.size(); ++i) {
        SCOPED_TRACE(responses[i]);
        send(Milliseconds{5000}, "Poplar-Request-Id");
        ASSERT_TRUE(runUntilReceived(i, "GET /"));
        server.peers[i]->send(responses[i]);
        server.peers[i]->endSending();
        ASSERT_TRUE(runUntilEnded(i));
        expect(i, HttpDelivery::MayHaveBeenSent, HttpError::InvalidResponse);
        EXPECT_TRUE(outcomes[i]->response.body.empty());
    }
    EXPECT_EQ(client().counts().invalidResponses, responses.size());
}

// Requests must not be sent on a connection that has become unresponsive.
TEST_F(HttpClientTest, ProbeClosesUnresponsiveConnection)
{
    send();
    ASSERT_TRUE(runUntilReceived(0, "GET /0 "));
    server.peers[0]->send(okResponse("one"));
    ASSERT_TRUE(runUntilEnded(0));
    std::vector<bool> probes;
    const auto report = [&](const HttpEndpoint &, bool isAlive) { probes.push_back(isAlive); };
    {
        SCOPED_TRACE("when the connection responds to the probe, then it stays open");
        client().probeIdle(Milliseconds{5000}, report);
        ASSERT_TRUE(runUntilReceived(0, "GET /health "));
        server.peers[0]->send(okResponse("{}"));
        ASSERT_TRUE(runUntil(io, [&] { return probes.size() == 1; }));
        EXPECT_TRUE(probes[0]);
        EXPECT_EQ(client().poolSize(endpoint).idle, 1U);
    }
    {
        SCOPED_TRACE("when it does not, then it is closed and requests use another one");
        client().probeIdle(Milliseconds{10}, report);
        send();
        ASSERT_TRUE(runUntilReceived(1, "GET /1 "));
        ASSERT_TRUE(runUntil(io, [&] { return probes.size() == 2; }));
        EXPECT_FALSE(probes[1]);
        EXPECT_TRUE(runUntil(io, [&] { return server.peers[0]->isClosed; }));
        EXPECT_EQ(client().counts().unresponsiveConnections, 1U);
    }
}

// Guards against more connections than a minion allows, and against reporting a request that
// expired in the queue as possibly sent.
TEST_F(HttpClientTest, OneRequestForEachConnection)
{
    limits.connectionsPerEndpoint = 1;
    limits.waitingPerEndpoint = 2;
    send();
    ASSERT_TRUE(runUntilReceived(0, "GET /0 "));
    send();
    send(Milliseconds{10});
    send();
    ASSERT_TRUE(runUntilEnded(3));
    expect(3, HttpDelivery::NotSent, HttpError::Overloaded);
    ASSERT_TRUE(runUntilEnded(2));
    expect(2, HttpDelivery::NotSent, HttpError::DeadlinePassed);
    EXPECT_FALSE(server.peers[0]->has("GET /1 "));
    server.peers[0]->send(okResponse("zero"));
    ASSERT_TRUE(runUntilReceived(0, "GET /1 "));
    server.peers[0]->send(okResponse("one"));
    ASSERT_TRUE(runUntilEnded(1));
    EXPECT_EQ(outcomes[0]->response.body, "zero");
    EXPECT_EQ(outcomes[1]->response.body, "one");
    EXPECT_EQ(server.peers.size(), 1U);
}

// Guards against a cancelled hedge that keeps its connection, and against request smuggling
// through a header value.
TEST_F(HttpClientTest, CancelAndInvalidRequest)
{
    const std::uint64_t call = send();
    ASSERT_TRUE(runUntilReceived(0, "GET /0 "));
    client().cancel(call);
    expect(0, HttpDelivery::MayHaveBeenSent, HttpError::Cancelled);
    ASSERT_TRUE(runUntil(io, [&] { return server.peers[0]->isClosed; }));
    std::optional<HttpOutcome> outcome;
    client().send(endpoint, {"GET", "/", {{"A", "b\r\n\r\nGET /x HTTP/1.1"}}, {}, {}}, {},
                  [&](HttpOutcome out) { outcome = std::move(out); });
    ASSERT_TRUE(runUntil(io, [&] { return outcome.has_value(); }));
    EXPECT_EQ(outcome->error, HttpError::BadRequest);
    EXPECT_EQ(outcome->delivery, HttpDelivery::NotSent);
}

// A busy process must not take responses that it has not read yet for missing ones: the calls would
// be repeated and their connections opened anew, which makes it busier.
TEST_F(HttpClientTest, ResponseThatArrivedByTheDeadlineIsRead)
{
    // More sockets than the event loop looks at before it handles the timers.
    constexpr std::size_t calls = 300;
    limits.connectionsPerEndpoint = calls;
    limits.waitingPerEndpoint = calls;
    limits.clock = [] { return timePoint(0); };  // all requests are written at their deadline
    for (std::size_t i = 0; i < calls; ++i) {
        send();
    }
    for (std::size_t i = 0; i < calls; ++i) {
        ASSERT_TRUE(runUntil(
                io, [&] { return server.peers.size() > i && server.peers[i]->has("GET"); }));
        server.peers[i]->send(okResponse("first"));
    }
    for (std::size_t i = 0; i < calls; ++i) {
        ASSERT_TRUE(runUntilEnded(i));
    }
    for (std::size_t i = 0; i < calls; ++i) {
        send(Milliseconds{0});
    }
    for (const auto &peer : server.peers) {
        peer->send(okResponse("second"));
    }
    std::size_t answered = 0;
    for (std::size_t i = calls; i < calls * 2; ++i) {
        ASSERT_TRUE(runUntilEnded(i));
        answered += outcomes[i]->delivery == HttpDelivery::Answered ? 1 : 0;
    }
    EXPECT_EQ(answered, calls);
}

// A peer that sends a part of a response must not hold a call beyond its deadline and the time to
// read what has arrived.
TEST_F(HttpClientTest, PartOfAResponseDoesNotHoldTheCall)
{
    limits.clock = [] { return timePoint(0); };  // the request is written at its deadline
    send();
    ASSERT_TRUE(runUntilReceived(0, "GET /0"));
    server.peers[0]->send(okResponse("first"));
    ASSERT_TRUE(runUntilEnded(0));
    send(Milliseconds{0});
    server.peers[0]->send("HTTP/1.1 200 OK\r\n");
    ASSERT_TRUE(runUntilEnded(1));
    expect(1, HttpDelivery::MayHaveBeenSent, HttpError::DeadlinePassed);
}

// Guards against an order that leaves a paused process after its time: a request that waited for a
// connection during the pause must not be written, and must be reported as not sent.
TEST_F(HttpClientTest, NothingIsWrittenAfterItsDeadline)
{
    SCOPED_TRACE("given two requests whose connections are busy, and two that wait for one");
    TimePoint now = timePoint(1'000'000);
    limits.clock = [&now] { return now; };
    send();
    send();
    ASSERT_TRUE(runUntilReceived(0, "GET /0"));
    ASSERT_TRUE(runUntilReceived(1, "GET /1"));
    send(Milliseconds{1500});
    send(Milliseconds{60'000});
    {
        SCOPED_TRACE("when the process is paused for longer than the deadline of the third");
        now += Milliseconds{5000};
        server.peers[0]->send(okResponse("late"));
        ASSERT_TRUE(runUntilEnded(2));
        {
            SCOPED_TRACE("then it is not written, and the fourth takes its connection");
            expect(2, HttpDelivery::NotSent, HttpError::DeadlinePassed);
            ASSERT_TRUE(runUntilReceived(0, "GET /3"));
            EXPECT_FALSE(server.peers[0]->has("GET /2"));
            EXPECT_EQ(client().counts().withheldRequests, 1U);
            server.peers[0]->send(okResponse("fine"));
            ASSERT_TRUE(runUntilEnded(3));
            expect(3, HttpDelivery::Answered, HttpError::None);
        }
    }
    {
        SCOPED_TRACE("when the clock is set back, then requests are written as before");
        now -= Milliseconds{100'000};
        send();
        ASSERT_TRUE(runUntilReceived(0, "GET /4"));
    }
}

// Guards against an order under a permission that has run out while the order waited for a
// connection or for the end of a connect.
TEST_F(HttpClientTest, PermissionIsAskedRightBeforeWriting)
{
    SCOPED_TRACE("given a request that waits for the connect to its endpoint");
    bool isPermitted = true;
    const auto mayWrite = [&isPermitted] { return isPermitted; };
    send(Milliseconds{5000}, "", mayWrite);
    EXPECT_FALSE(outcomes[0]);
    {
        SCOPED_TRACE("when its permission ends, then it is not sent, and the connection is kept");
        isPermitted = false;
        ASSERT_TRUE(runUntilEnded(0));
        expect(0, HttpDelivery::NotSent, HttpError::Withheld);
        isPermitted = true;
        send(Milliseconds{5000}, "", mayWrite);
        ASSERT_TRUE(runUntilReceived(0, "GET /1"));
        EXPECT_FALSE(server.peers[0]->has("GET /0"));
        EXPECT_EQ(client().counts().connects, 1U);
    }
    {
        SCOPED_TRACE("when an idle connection is there, then no callback runs within send()");
        server.peers[0]->send(okResponse("fine"));
        ASSERT_TRUE(runUntilEnded(1));
        isPermitted = false;
        send(Milliseconds{5000}, "", mayWrite);
        EXPECT_FALSE(outcomes[2]);
        ASSERT_TRUE(runUntilEnded(2));
        expect(2, HttpDelivery::NotSent, HttpError::Withheld);
    }
}

}  // namespace
}  // namespace poplarstream
