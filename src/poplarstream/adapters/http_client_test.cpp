#include "poplarstream/adapters/http_client.hpp"

#include <gtest/gtest.h>  // for TEST_F, EXPECT_EQ

#include "poplarstream/adapters/http_test_support.hpp"  // for drive, RawServer

namespace poplarstream {
namespace {

std::string answer(const std::string &body, const std::string &headers = "")
{
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

// A client against a server whose bytes the test writes.
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

    // Sends `GET /<index of its outcome>`.
    std::uint64_t send(Milliseconds deadline = Milliseconds{5000}, const std::string &echo = "")
    {
        const std::size_t index = outcomes.size();
        outcomes.emplace_back();
        HttpRequest request{"GET", "/" + std::to_string(index), {}, {}, {}};
        request.headers.push_back({"Poplar-Request-Id", "r" + std::to_string(index)});
        return client().send(endpoint, request, {deadline, echo}, [this, index](HttpOutcome out) {
            EXPECT_FALSE(outcomes[index]) << "called twice";
            outcomes[index] = std::move(out);
        });
    }

    bool driveUntilEnded(std::size_t index)
    {
        return drive(io, [&] { return outcomes[index].has_value(); });
    }
    bool driveUntilSeen(std::size_t peer, const std::string &text)
    {
        return drive(io,
                     [&] { return server.peers.size() > peer && server.peers[peer]->has(text); });
    }
    void expect(std::size_t index, HttpDelivery delivery, HttpError fault)
    {
        EXPECT_EQ(outcomes[index]->delivery, delivery);
        EXPECT_EQ(outcomes[index]->error, fault) << httpErrorText(outcomes[index]->error);
    }

    boost::asio::io_context io{1};
    HttpClientLimits limits;
    RawServer server{io};
    HttpEndpoint endpoint{"127.0.0.1", server.port()};
    std::vector<std::optional<HttpOutcome>> outcomes;

private:
    std::optional<HttpClient> client_;
};

// Guards against a refused connection that is reported as a request that may have run.
TEST_F(HttpClientTest, RefusedConnection)
{
    server.acceptor.close();
    send();
    ASSERT_TRUE(driveUntilEnded(0));
    expect(0, HttpDelivery::NotSent, HttpError::Refused);
}

// Guards against a connect that hangs for as long as the kernel likes.
TEST_F(HttpClientTest, ConnectTimesOut)
{
    SCOPED_TRACE("given a listener whose queue is full");
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
    ASSERT_TRUE(driveUntilEnded(0));
    expect(0, HttpDelivery::NotSent, HttpError::ConnectTimeout);
}

// Guards against the answer to a request that timed out being handed to the next request.
TEST_F(HttpClientTest, LateAnswerIsDroppedWithItsConnection)
{
    limits.connectionsPerEndpoint = 1;
    send(Milliseconds{100});
    send();
    ASSERT_TRUE(driveUntilEnded(0));
    expect(0, HttpDelivery::MayHaveBeenSent, HttpError::DeadlinePassed);
    server.peers[0]->send(answer("late"));
    ASSERT_TRUE(driveUntilSeen(1, "GET /1 "));
    server.peers[1]->send(answer("own"));
    ASSERT_TRUE(driveUntilEnded(1));
    EXPECT_EQ(outcomes[1]->response.body, "own");
    EXPECT_TRUE(drive(io, [&] { return server.peers[0]->isClosed; }));
}

// Guards against a deadline lost on each connection in turn when all of them have fallen silent.
TEST_F(HttpClientTest, SilenceOfOneConnectionCondemnsThoseNotHeardOfSince)
{
    SCOPED_TRACE("given two idle connections");
    send();
    send();
    ASSERT_TRUE(driveUntilSeen(0, "GET /"));
    ASSERT_TRUE(driveUntilSeen(1, "GET /"));
    server.peers[0]->send(answer("a"));
    server.peers[1]->send(answer("b"));
    ASSERT_TRUE(driveUntilEnded(0) && driveUntilEnded(1));
    {
        SCOPED_TRACE("when a call on one of them is not answered");
        send(Milliseconds{20});
        ASSERT_TRUE(driveUntilEnded(2));
        expect(2, HttpDelivery::MayHaveBeenSent, HttpError::DeadlinePassed);
        {
            SCOPED_TRACE("then the next one goes over a new connection");
            send();
            ASSERT_TRUE(driveUntilSeen(2, "GET /3 "));
            server.peers[2]->send(answer("c"));
            ASSERT_TRUE(driveUntilEnded(3));
            EXPECT_TRUE(drive(
                    io, [&] { return server.peers[0]->isClosed && server.peers[1]->isClosed; }));
        }
    }
}

// Guards against a request that is given up and delivered after its caller has decided otherwise:
// an orderly close would let the network go on delivering it.
TEST_F(HttpClientTest, RequestIsRecalledWithAReset)
{
    send(Milliseconds{50});
    ASSERT_TRUE(driveUntilEnded(0));
    expect(0, HttpDelivery::MayHaveBeenSent, HttpError::DeadlinePassed);
    ASSERT_TRUE(drive(io, [&] { return !server.peers.empty() && server.peers[0]->isClosed; }));
    EXPECT_TRUE(server.peers[0]->isReset);
}

// Guards against the same when the process ends in the middle of a request.
TEST_F(HttpClientTest, RequestIsRecalledWhenTheClientGoes)
{
    auto leaving = std::make_unique<HttpClient>(io, limits);
    leaving->send(endpoint, {"GET", "/", {}, {}, {}}, {Milliseconds{5000}, {}},
                  [](const HttpOutcome &) {});
    ASSERT_TRUE(driveUntilSeen(0, "GET / "));
    leaving.reset();
    ASSERT_TRUE(drive(io, [&] { return server.peers[0]->isClosed; }));
    EXPECT_TRUE(server.peers[0]->isReset);
}

// Guards against a second answer on an idle connection being taken for the answer to the next
// request, whether it arrives with the first or after it.
TEST_F(HttpClientTest, UnexpectedAnswerIsNotReused)
{
    for (const bool isTogether : {true, false}) {
        SCOPED_TRACE(isTogether);
        const std::size_t peer = server.peers.size();
        const std::size_t index = outcomes.size();
        send();
        ASSERT_TRUE(driveUntilSeen(peer, "GET /"));
        server.peers[peer]->send(answer("first") + (isTogether ? answer("stray") : ""));
        ASSERT_TRUE(driveUntilEnded(index));
        if (!isTogether) {
            server.peers[peer]->send(answer("stray"));
        }
        send();
        ASSERT_TRUE(driveUntilSeen(peer + 1, "GET /"));
        server.peers[peer + 1]->send(answer("own", "Connection: close\r\n"));
        ASSERT_TRUE(driveUntilEnded(index + 1));
        EXPECT_EQ(outcomes[index + 1]->response.body, "own");
    }
    EXPECT_EQ(client().counts().staleConnections, 2U);
}

// Guards against a false may-have-run: a request must not be written to a connection that the
// server has closed.
TEST_F(HttpClientTest, ServerClosesBetweenRequests)
{
    send();
    ASSERT_TRUE(driveUntilSeen(0, "GET /0 "));
    server.peers[0]->send(answer("one"));
    ASSERT_TRUE(driveUntilEnded(0));
    server.peers[0]->socket.close();
    send();
    ASSERT_TRUE(driveUntilSeen(1, "GET /1 "));
    server.peers[1]->send(answer("two"));
    ASSERT_TRUE(driveUntilEnded(1));
    expect(1, HttpDelivery::Answered, HttpError::None);
}

// Guards against a false not-run: a request whose bytes have left may have run.
TEST_F(HttpClientTest, ServerClosesAfterTheRequest)
{
    for (const std::string &bytes : {std::string(), answer("long").substr(0, 25)}) {
        SCOPED_TRACE(bytes);
        const std::size_t index = outcomes.size();
        send();
        ASSERT_TRUE(driveUntilSeen(index, "GET /"));
        server.peers[index]->send(bytes);
        server.peers[index]->endSending();
        ASSERT_TRUE(driveUntilEnded(index));
        expect(index, HttpDelivery::MayHaveBeenSent, HttpError::ConnectionLost);
    }
}

// Guards against answers that are incomplete, not HTTP, or for another request.
TEST_F(HttpClientTest, BadAnswersAreNotDelivered)
{
    const std::vector<std::string> answers{
            "HTTP/1.1 200 OK\r\nPoplar-Request-Id: r0\r\n\r\nunbounded", "nonsense\r\n\r\n",
            answer("other", "Poplar-Request-Id: r9\r\n"), answer("none"),
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"};
    for (std::size_t i = 0; i < answers.size(); ++i) {
        SCOPED_TRACE(answers[i]);
        send(Milliseconds{5000}, "Poplar-Request-Id");
        ASSERT_TRUE(driveUntilSeen(i, "GET /"));
        server.peers[i]->send(answers[i]);
        server.peers[i]->endSending();
        ASSERT_TRUE(driveUntilEnded(i));
        expect(i, HttpDelivery::MayHaveBeenSent, HttpError::BadAnswer);
        EXPECT_TRUE(outcomes[i]->response.body.empty());
    }
    EXPECT_EQ(client().counts().badAnswers, answers.size());
}

// Guards against work that is sent into a connection that has gone silent.
TEST_F(HttpClientTest, SilentConnectionIsClosedByTheProbe)
{
    send();
    ASSERT_TRUE(driveUntilSeen(0, "GET /0 "));
    server.peers[0]->send(answer("one"));
    ASSERT_TRUE(driveUntilEnded(0));
    std::vector<bool> probes;
    const auto report = [&](const HttpEndpoint &, bool isAlive) { probes.push_back(isAlive); };
    {
        SCOPED_TRACE("when the connection answers the probe, then it stays");
        client().probeIdle(Milliseconds{5000}, report);
        ASSERT_TRUE(driveUntilSeen(0, "GET /health "));
        server.peers[0]->send(answer("{}"));
        ASSERT_TRUE(drive(io, [&] { return probes.size() == 1; }));
        EXPECT_TRUE(probes[0]);
        EXPECT_EQ(client().poolSize(endpoint).idle, 1U);
    }
    {
        SCOPED_TRACE("when it does not, then requests use another one and it is closed");
        client().probeIdle(Milliseconds{10}, report);
        send();
        ASSERT_TRUE(driveUntilSeen(1, "GET /1 "));
        ASSERT_TRUE(drive(io, [&] { return probes.size() == 2; }));
        EXPECT_FALSE(probes[1]);
        EXPECT_TRUE(drive(io, [&] { return server.peers[0]->isClosed; }));
        EXPECT_EQ(client().counts().silentConnections, 1U);
    }
}

// Guards against more connections than a minion shares out, and against requests that wait beyond
// their deadline being reported as possibly sent.
TEST_F(HttpClientTest, OneRequestForEachConnection)
{
    limits.connectionsPerEndpoint = 1;
    limits.waitingPerEndpoint = 2;
    send();
    ASSERT_TRUE(driveUntilSeen(0, "GET /0 "));
    send();
    send(Milliseconds{10});
    send();
    ASSERT_TRUE(driveUntilEnded(3));
    expect(3, HttpDelivery::NotSent, HttpError::Overloaded);
    ASSERT_TRUE(driveUntilEnded(2));
    expect(2, HttpDelivery::NotSent, HttpError::DeadlinePassed);
    EXPECT_FALSE(server.peers[0]->has("GET /1 "));
    server.peers[0]->send(answer("zero"));
    ASSERT_TRUE(driveUntilSeen(0, "GET /1 "));
    server.peers[0]->send(answer("one"));
    ASSERT_TRUE(driveUntilEnded(1));
    EXPECT_EQ(outcomes[0]->response.body, "zero");
    EXPECT_EQ(outcomes[1]->response.body, "one");
    EXPECT_EQ(server.peers.size(), 1U);
}

// Guards against a hedged request that keeps its connection after it was given up, and against
// header values that add a request to the connection.
TEST_F(HttpClientTest, CancelAndInvalidRequest)
{
    const std::uint64_t call = send();
    ASSERT_TRUE(driveUntilSeen(0, "GET /0 "));
    client().cancel(call);
    expect(0, HttpDelivery::MayHaveBeenSent, HttpError::Cancelled);
    ASSERT_TRUE(drive(io, [&] { return server.peers[0]->isClosed; }));
    std::optional<HttpOutcome> outcome;
    client().send(endpoint, {"GET", "/", {{"A", "b\r\n\r\nGET /x HTTP/1.1"}}, {}, {}}, {},
                  [&](HttpOutcome out) { outcome = std::move(out); });
    ASSERT_TRUE(drive(io, [&] { return outcome.has_value(); }));
    EXPECT_EQ(outcome->error, HttpError::BadRequest);
    EXPECT_EQ(outcome->delivery, HttpDelivery::NotSent);
}

}  // namespace
}  // namespace poplarstream
