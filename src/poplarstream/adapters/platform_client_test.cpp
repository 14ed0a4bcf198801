#include "poplarstream/adapters/platform_client.hpp"

#include <optional>  // for optional

#include <gtest/gtest.h>  // for TEST_F, EXPECT_EQ
#include <rapidcheck.h>  // for rc::check

#include "poplarstream/adapters/http_client.hpp"  // for HttpClient
#include "poplarstream/adapters/http_server.hpp"  // for HttpServer
#include "poplarstream/adapters/http_test_support.hpp"  // for runUntil

namespace poplarstream {
namespace {

// Tests a client against a platform whose responses are set by the test.
class PlatformClientTest : public testing::Test
{
protected:
    PlatformClientTest()
    {
        auto result = HttpServer::listen(io, {"127.0.0.1", 0},
                                         [this](HttpRequest request, HttpRespond respond) {
                                             requests.push_back(std::move(request));
                                             if (reply) {
                                                 respond(*reply);
                                             } else {
                                                 pendingResponds.push_back(std::move(respond));
                                             }
                                         });
        server.emplace(std::move(result).value());
        settings.endpoint = {"127.0.0.1", server->port()};
        settings.appendDeadline = Milliseconds{100};
    }

    AppendOutcome append()
    {
        const PlatformClient platform = makePlatformClient(client, settings);
        std::optional<AppendOutcome> outcome;
        platform.append("control", R"({"a":"b"})", [&](AppendOutcome out) { outcome = out; });
        EXPECT_TRUE(runUntil(io, [&] { return outcome.has_value(); }));
        return outcome.value_or(AppendUnknown{"none"});
    }

    boost::asio::io_context io{1};
    std::optional<HttpServer> server;
    HttpClient client{io};
    PlatformSettings settings;
    std::optional<HttpResponse> reply;
    std::vector<HttpRequest> requests;
    std::vector<HttpRespond> pendingResponds;
};

// An append that took effect must not be treated as failed, or it would be repeated under another
// id.
TEST_F(PlatformClientTest, LostResponseIsUnknown)
{
    EXPECT_TRUE(std::holds_alternative<AppendUnknown>(append()));
    ASSERT_EQ(requests.size(), 1U) << "the platform received it";
    EXPECT_EQ(requests[0].target, "/streams/control");
    EXPECT_EQ(requests[0].body, R"({"data":{"a":"b"}})");
    EXPECT_EQ(client.poolSize(settings.endpoint).open, 0U) << "its connection is closed";
}

// An ambiguous response must count neither as success nor as a rejection.
TEST_F(PlatformClientTest, AppendOutcomes)
{
    settings.appendDeadline = Milliseconds{5000};
    reply = jsonResponse(200, R"({"offset":7})");
    EXPECT_EQ(std::get<Appended>(append()).offset, 7U);
    for (const unsigned status : {400U, 413U}) {
        reply = jsonResponse(status, "{}");
        EXPECT_TRUE(std::holds_alternative<AppendRefused>(append())) << status;
    }
    for (const unsigned status : {200U, 408U, 429U, 500U, 503U}) {
        reply = jsonResponse(status, R"({"offset":-1})");
        EXPECT_TRUE(std::holds_alternative<AppendUnknown>(append())) << status;
    }
    server.reset();
    EXPECT_TRUE(std::holds_alternative<AppendRefused>(append())) << "nothing listens";
}

// Guards against replay over a gap: a page that skips a record is rejected.
TEST(LogPage, OffsetsMustBeConsecutive)
{
    const std::string record = R"({"offset":5,"time_ms":9,"data":{"x":1}})";
    const auto page = [&](const std::string &first, const std::string &next,
                          const std::string &records) {
        return logPageFromJson(R"({"first":)" + first + R"(,"next":)" + next + R"(,"records":[)"
                                       + records + "]}",
                               5);
    };
    ASSERT_TRUE(page("0", "6", record));
    EXPECT_EQ(page("0", "6", record).value().entries[0].data, R"({"x":1})");
    EXPECT_TRUE(page("0", "5", ""));
    EXPECT_TRUE(page("9", "9", ""))
            << "the records before 9 are no longer stored, as `first` shows";
    EXPECT_FALSE(page("0", "7", record));
    EXPECT_FALSE(page("0", "6", ""));
    EXPECT_FALSE(page("0", "7", record + "," + record));
    EXPECT_FALSE(page("6", "6", record));
}

// A response that violates the protocol must not cause a crash.
TEST(LogPage, ArbitraryText)
{
    EXPECT_FALSE(logPageFromJson(std::string(200'000, '['), 0));
    const std::string valid =
            R"({"first":0,"next":1,"records":[{"offset":0,"time_ms":9,"data":{"x":1}}]})";
    EXPECT_TRUE(rc::check("a changed page never throws", [&](std::uint8_t byte) {
        std::string text = valid;
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = static_cast<char>(byte);
        (void)logPageFromJson(text, 0);
    }));
}

}  // namespace
}  // namespace poplarstream
