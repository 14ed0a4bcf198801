#include "poplarstream/adapters/worker_client.hpp"

#include <optional>  // for optional

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/adapters/http_client.hpp"  // for HttpClient
#include "poplarstream/adapters/http_server.hpp"  // for HttpServer
#include "poplarstream/adapters/http_test_support.hpp"  // for drive
#include "poplarstream/adapters/minion_client.hpp"  // for makeMinionClient

namespace poplarstream {
namespace {

// A worker or minion that gives one answer to everything.
class EndpointTest : public testing::Test
{
protected:
    EndpointTest()
    {
        auto result = HttpServer::listen(io, {"127.0.0.1", 0},
                                         [this](HttpRequest request, const HttpRespond &respond) {
                                             received = std::move(request);
                                             respond(reply);
                                         });
        server.emplace(std::move(result).value());
        endpoint.port = server->port();
    }

    template <class Outcome, class Call>
    Outcome callWith(Call call)
    {
        std::optional<Outcome> outcome;
        call([&](Outcome out) { outcome = std::move(out); });
        EXPECT_TRUE(drive(io, [&] { return outcome.has_value(); }));
        return *outcome;
    }

    RevokeOutcome revoke()
    {
        return callWith<RevokeOutcome>([&](auto done) {
            workers.revoke(endpoint, {RunId("a-1"), {3, 4}}, done);
        });
    }

    MinionOutcome work(const std::string &id)
    {
        return callWith<MinionOutcome>([&](auto done) {
            minions.work(endpoint, {RequestId(id), ServiceId("s"), "p", Milliseconds{5000}}, done);
        });
    }

    boost::asio::io_context io{1};
    std::optional<HttpServer> server;
    HttpClient client{io};
    HttpEndpoint endpoint{"127.0.0.1", 0};
    WorkerClient workers = makeWorkerClient(client, Milliseconds{5000});
    MinionClient minions = makeMinionClient(client);
    HttpResponse reply;
    HttpRequest received;
};

// Guards against a run that is started again because an unclear answer was read as never-started.
TEST_F(EndpointTest, RevocationIsCertainOrUnknown)
{
    reply = jsonResponse(200, R"({"state":"never-started"})");
    EXPECT_EQ(revoke().state, RevokedState::NeverStarted);
    EXPECT_EQ(received.body, R"({"run":"a-1","token":{"index":4,"offset":3}})");
    for (const char *body : {"", "[]", "{}", R"({"state":3})", R"({"state":"other"})"}) {
        reply = jsonResponse(200, body);
        EXPECT_EQ(revoke().state, std::nullopt) << body;
        EXPECT_EQ(revoke().outcome.reply, WorkerReply::Unknown) << body;
    }
    reply = jsonResponse(409, "{}");
    EXPECT_EQ(revoke().outcome.reply, WorkerReply::Fenced);
    reply = jsonResponse(500, "{}");
    EXPECT_EQ(revoke().outcome.reply, WorkerReply::Unknown);
    server.reset();
    EXPECT_EQ(revoke().outcome.reply, WorkerReply::NotSent);
}

// Guards against a task that looks lost because its list could not be read.
TEST_F(EndpointTest, TaskListIsWholeOrAFailure)
{
    const std::string good = R"({"run":"a-1","token":{"offset":3,"index":4},"state":"lapsed"})";
    EXPECT_EQ(taskReportsFromJson(R"({"tasks":[)" + good + "]}").value()[0].state,
              TaskState::Lapsed);
    EXPECT_FALSE(taskReportsFromJson(R"({"tasks":[)" + good + R"(,{"run":"b"}]})"));
    EXPECT_FALSE(taskReportsFromJson(R"({"tasks":[{"run":"a","token":{},"state":"new"}]})"));
    EXPECT_FALSE(taskReportsFromJson("[]"));
    reply = jsonResponse(200, R"({"lost":[{"run":"a","token":{"offset":1,"index":0}}]})");
    const auto renewed = callWith<RenewOutcome>([&](auto done) {
        workers.renew(endpoint, {{RunId("a"), {1, 0}}}, Milliseconds{10}, done);
    });
    ASSERT_EQ(renewed.lost.size(), 1U);
    EXPECT_EQ(renewed.lost[0], (TaskKey{RunId("a"), {1, 0}}));
}

// Guards against the answer to another request being handed to a caller, and against a wrong
// verdict on a request that the minion refused.
TEST_F(EndpointTest, MinionAnswers)
{
    reply = {200, {{"Poplar-Request-Id", "r1"}, {"Poplar-Load", "3/8"}}, "done"};
    const MinionOutcome own = work("r1");
    EXPECT_EQ(own.verdict, Verdict::Ran);
    EXPECT_EQ(own.body, "done");
    EXPECT_EQ(own.load->busy, 3U);
    EXPECT_FALSE(own.isLeaving);
    const MinionOutcome other = work("r2");
    EXPECT_EQ(other.verdict, Verdict::MayHaveRun);
    EXPECT_EQ(other.fault, HttpFault::BadAnswer);
    EXPECT_EQ(other.body, "");
    reply = {503,
             {{"Poplar-Request-Id", "r3"},
              {"Poplar-Verdict", "not-run"},
              {"Poplar-State", "leaving"},
              {"Poplar-Load", "8/0"}},
             ""};
    const MinionOutcome refused = work("r3");
    EXPECT_EQ(refused.verdict, Verdict::NotRun);
    EXPECT_TRUE(refused.isLeaving);
    EXPECT_FALSE(refused.load);
}

}  // namespace
}  // namespace poplarstream
