#include <gtest/gtest.h>

#include "poplarstream/console/charts.hpp"  // for awayChart, addSample
#include "poplarstream/console/console_fixture.hpp"  // for fleetOf
#include "poplarstream/console/form.hpp"  // for formFromBody
#include "poplarstream/console/session.hpp"  // for makeSession
#include "poplarstream/console/state_pages.hpp"  // for statePage

namespace poplarstream::console {
namespace {

const std::vector<std::string> tokens = {"first-token", "second-token"};
const TimePoint noon = timePoint(1'000'000'000);

// Guards against a cross-site post with the form token of another session, and against a session
// that is accepted after its expiry or after its operator token was removed.
TEST(Session, FormTokenIsBoundToOneSession)
{
    const std::string session = makeSession("second-token", noon);
    const auto formToken = formTokenOf(session, tokens, noon);
    ASSERT_TRUE(formToken);
    EXPECT_EQ(formTokenOf(session, tokens, noon + sessionLength - Milliseconds{1}), formToken)
            << "the form token is the same on every entry host and for every request";
    EXPECT_NE(formTokenOf(makeSession("first-token", noon), tokens, noon), formToken);
    EXPECT_NE(formTokenOf(makeSession("second-token", noon + Milliseconds{1}), tokens, noon),
              formToken);
    EXPECT_FALSE(formTokenOf(session, tokens, noon + sessionLength));
    EXPECT_FALSE(formTokenOf(session, std::vector<std::string>{"first-token"}, noon));
    EXPECT_FALSE(formTokenOf(session, std::vector<std::string>{""}, noon));
    EXPECT_EQ(session.find("second-token"), std::string::npos);
    EXPECT_FALSE(secretsMatch("", ""));
    EXPECT_TRUE(secretsMatch("a", "a"));
    EXPECT_FALSE(secretsMatch("a", "b"));
}

// Guards against accepting a modified session cookie, such as one with a later expiry.
TEST(Session, RejectsModifiedCookie)
{
    const std::string session = makeSession("first-token", noon);
    for (std::size_t i = 0; i < session.size(); ++i) {
        std::string modified = session;
        modified[i] = modified[i] == '1' ? '2' : '1';
        EXPECT_FALSE(formTokenOf(modified, tokens, noon)) << modified;
    }
    for (const char *text : {"", ".", "1", "9999999999999.", "x.y"}) {
        EXPECT_FALSE(formTokenOf(text, tokens, noon)) << text;
    }
}

// Guards against form fields that are lost or garbled when a post is decoded.
TEST(Form, ParsesUrlEncodedAndMultipartBodies)
{
    EXPECT_EQ(formFromQuery("a=1+2&b=%3Cx%3e&c=%zz&d").value("a"), "1 2");
    EXPECT_EQ(formFromQuery("a=1&b=%3Cx%3e").value("b"), "<x>");
    EXPECT_EQ(formFromQuery("c=%zz%4").value("c"), "%zz%4");
    const std::string body = "--B\r\nContent-Disposition: form-data; name=\"do\"\r\n\r\nsave\r\n"
                             "--B\r\nContent-Disposition: form-data; name=\"file\"; "
                             "filename=\"f.ini\"\r\nContent-Type: text/plain\r\n\r\n[a b]\nx=1\n"
                             "\r\n--B--\r\n";
    const Form form = formFromBody("multipart/form-data; boundary=B", body);
    EXPECT_EQ(form.value("do"), "save");
    EXPECT_EQ(form.value("file"), "[a b]\nx=1\n");
    for (std::size_t cut = 0; cut < body.size(); ++cut) {
        formFromBody("multipart/form-data; boundary=B", body.substr(0, cut));
    }
    EXPECT_TRUE(formFromBody("multipart/form-data", body).fields().empty());
    EXPECT_EQ(cookieValue("a=1; poplar_session=x.y; b=2", "poplar_session"), "x.y");
    EXPECT_EQ(cookieValue("xpoplar_session=1", "poplar_session"), "");
}

// Guards against unescaped markup or control characters on a page.
TEST(Html, EscapesMarkupControlCharactersAndInvalidUtf8)
{
    EXPECT_EQ(escapeHtml("<a b='c' d=\"e\">&"), "&lt;a b=&#39;c&#39; d=&quot;e&quot;&gt;&amp;");
    EXPECT_EQ(escapeHtml("a\x01\x7f\xc2\x85"), "a\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd");
    EXPECT_EQ(escapeHtml("\xc3\xa4\xff\xc3"), "\xc3\xa4\xef\xbf\xbd\xef\xbf\xbd");
    EXPECT_EQ(escapeHtml("\xc0\xbc\xed\xa0\x80"),
              "\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd");
    EXPECT_EQ(decodeUrl(encodeUrl("a/b ?&=%\xc3\xa4+")), "a/b ?&=%\xc3\xa4+");
}

struct StatePageFixture
{
    std::optional<std::string> page(std::string_view path, const Form &query = {})
    {
        return statePage({context, fleet, runs, histograms, history, waitReasons, alerts, {}}, path,
                         query);
    }

    PageContext context = testing::testPageContext();
    FleetState fleet;
    RunsState runs;
    RequestHistograms histograms;
    AwayHistory history;
    std::vector<WaitReason> waitReasons;
    std::vector<std::string> alerts;
};

// Guards against a page that fails without a configuration, runs or samples.
TEST(StatePages, RenderWithEmptyState)
{
    StatePageFixture pages;
    for (const char *path : {"", "waves", "pools", "hosts", "runs", "tenants"}) {
        const auto html = pages.page(path);
        ASSERT_TRUE(html) << path;
        EXPECT_NE(html->find("<h1>"), std::string::npos);
        EXPECT_NE(html->find("name=\"viewport\""), std::string::npos);
    }
    for (const char *path : {"wave/w", "pool/p", "run/r", "tenant/t", "wave/", "x", "x/y"}) {
        EXPECT_FALSE(pages.page(path)) << path;
    }
    EXPECT_NE(explainPage(pages.context, "nobody", {}).find("Nothing is recorded"),
              std::string::npos);
    EXPECT_NE(loginPage(pages.context, "n", "").find("type=\"password\""), std::string::npos);
}

// Guards against script injection through text from other processes and clients.
TEST(StatePages, EscapeUntrustedText)
{
    const std::string hostile = "<script>\"'\x01";
    StatePageFixture pages;
    pages.fleet = testing::fleetOf(testing::smallDocument);
    testing::applyChange(pages.fleet, {{"pool p", "max_away", "0"}}, hostile, 1);
    pages.waitReasons = {{"w", hostile}, {"h1", hostile}};
    pages.alerts = {hostile};
    poplarstream::Run run;
    run.accepted.run = RunId("a-1");
    run.accepted.tenant = AccountId(hostile);
    run.accepted.service = ServiceId(hostile);
    run.accepted.payload = "payload-of-a-customer";
    run.accepted.idempotencyKey = "key-of-a-customer";
    run.claim.emplace().worker = HostId(hostile);
    pages.runs.runs.emplace(0, run);
    pages.context.entryHost = hostile;
    const Form query({{"filter", hostile}, {"page", hostile}, {"id", hostile}});
    for (const char *path :
         {"", "waves", "wave/w", "pools", "pool/p", "hosts", "runs", "tenants", "tenant/t"}) {
        for (const Form &fields : {query, Form()}) {
            const std::string html = pages.page(path, fields).value_or("<script>");
            EXPECT_EQ(html.find("<script"), std::string::npos) << path;
            EXPECT_EQ(html.find("script&gt;\""), std::string::npos) << path;
            EXPECT_EQ(html.find('\x01'), std::string::npos) << path;
            EXPECT_EQ(html.find("of-a-customer"), std::string::npos) << path;
            EXPECT_EQ(html.find("topsecret"), std::string::npos) << path;
        }
    }
    for (const std::string &html : {explainPage(pages.context, hostile, {hostile}),
                                    loginPage(pages.context, hostile, hostile),
                                    messagePage(pages.context, hostile, hostile)}) {
        EXPECT_EQ(html.find("<script"), std::string::npos);
    }
}

// Guards against response headers that allow framing, scripts or caching.
TEST(Page, HeadersForbidScriptsFramesAndCaching)
{
    std::string all;
    for (const auto &[name, value] : pageHeaders("n0nce")) {
        all += name + ": " + value + "\n";
    }
    for (const char *part : {"default-src 'none'", "style-src 'nonce-n0nce'", "form-action 'self'",
                             "frame-ancestors 'none'", "X-Content-Type-Options: nosniff",
                             "Referrer-Policy: no-referrer", "Cache-Control: no-store"}) {
        EXPECT_NE(all.find(part), std::string::npos) << part;
    }
}

// Guards against a history that grows without bound, or that draws a clock jump as an hour of
// absences.
TEST(Charts, HistoryIsBoundedAndClearedWhenTheClockIsSetBack)
{
    AwayHistory history;
    const PoolId pool("p");
    for (int i = 0; i < 2'000; ++i) {
        addSample(history, {noon + i * samplePeriod, {{pool, 1, 2}}});
        ASSERT_LE(history.size(), maxSamples);
        ASSERT_LE(history.back().time - history.front().time, historyLength);
    }
    EXPECT_NE(awayChart(history, pool).find("1 hosts away now, the budget is 2"),
              std::string::npos);
    EXPECT_EQ(awayChart(history, PoolId("none")).find("<svg"), std::string::npos);
    addSample(history, {noon, {}});
    EXPECT_EQ(history.size(), 1U);
}

// Guards against a latency chart that omits the slowest or fastest requests.
TEST(Charts, LatencyBinsCoverAllRequests)
{
    RequestHistograms histograms;
    const AccountId tenant("t");
    EXPECT_TRUE(histograms.latencies(tenant, WorkClass::Urgent).empty());
    for (const int ms : {0, 1, 30, 30, 1'000'000}) {
        histograms.record(tenant, WorkClass::Urgent, RequestOutcome::OnTime, Milliseconds{ms});
    }
    const auto bins = histograms.latencies(tenant, WorkClass::Urgent);
    std::uint64_t total = 0;
    for (const LatencyBin &bin : bins) {
        total += bin.count;
    }
    EXPECT_EQ(total, 5U);
    EXPECT_EQ(bins.front().count, 1U);
    EXPECT_EQ(bins.back().count, 1U);
    EXPECT_NE(latencyChart("Urgent", bins).find("5 requests, at most 2 in one bin"),
              std::string::npos);
    EXPECT_EQ(latencyChart("Slow", {}).find("<svg"), std::string::npos);
}

}  // namespace
}  // namespace poplarstream::console
