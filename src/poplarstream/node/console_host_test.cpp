#include <gtest/gtest.h>

#include "poplarstream/console/console_fixture.hpp"  // for fleetOf, inputValue
#include "poplarstream/console/form.hpp"  // for cookieValue
#include "poplarstream/console/session.hpp"  // for makeSession
#include "poplarstream/node/console_host.hpp"  // for ConsoleHost

namespace poplarstream {
namespace {

// A console whose ports respond immediately, and a client that stores cookies.
struct Browser
{
    Browser()
        : fleet(console::testing::fleetOf(console::testing::smallDocument))
        , host(thread, {.tokens = {"operator-token"}, .self = EntryHostId("e")}, ports())
    {}

    OperatorsPorts ports()
    {
        return {.query =
                        [this](const ControlQuery &question) {
                            question({.fleet = fleet, .runs = runs, .peers = peers});
                            return true;
                        },
                .publish =
                        [this](const ConfigPublication &publication) {
                            ++published;
                            publication.reply({.result = PublicationResult::InForce, .version = 2});
                            return true;
                        },
                .report =
                        [](const std::string &, const std::function<void(CallersReport)> &done) {
                            done(CallersReport());
                        }};
    }

    HttpResponse send(const std::string &method, const std::string &target,
                      const std::string &body = {})
    {
        HttpRequest request{.method = method, .target = target, .body = body};
        request.headers = {{"Content-Type", "application/x-www-form-urlencoded"},
                           {"Cookie", "poplar_login=" + login + "; poplar_session=" + session}};
        HttpResponse response;
        host.handle(request, [&](HttpResponse received) { response = std::move(received); });
        thread.context().restart();
        thread.context().poll();
        for (const HttpHeader &header : response.headers) {
            if (header.name == "Set-Cookie") {
                storeCookie(header.value);
            }
        }
        return response;
    }

    void storeCookie(const std::string &cookie)
    {
        EXPECT_NE(cookie.find("; HttpOnly; SameSite=Strict"), std::string::npos);
        (cookie.starts_with("poplar_login") ? login : session) =
                console::cookieValue(cookie, cookie.substr(0, cookie.find('=')));
    }

    unsigned logIn(const std::string &token)
    {
        const std::string nonce =
                console::testing::inputValue(send("GET", "/").body, "login_nonce");
        return send("POST", "/console/login", "login_nonce=" + nonce + "&token=" + token).status;
    }

    DutyThread thread{"operators"};
    FleetState fleet;
    RunsState runs;
    PeerView peers;
    int published = 0;
    std::string login;
    std::string session;
    ConsoleHost host;
};

std::string publishBody(const std::string &formToken)
{
    console::Draft draft{1, {{{"tenant t", "quota", "11"}, "10"}}};
    return "do=publish&form_token=" + formToken
           + "&draft=" + console::encodeUrl(console::encodeDraft(draft));
}

// Guards against access to pages, and against changes, without a login.
TEST(ConsoleHost, RequiresLogin)
{
    Browser browser;
    for (const char *path : {"/", "/console/pools", "/console/draft", "/console/explain?id=h1"}) {
        EXPECT_EQ(browser.send("GET", path).status, 401U) << path;
    }
    EXPECT_EQ(browser.logIn("wrong"), 401U);
    EXPECT_EQ(browser.logIn(""), 401U);
    EXPECT_EQ(browser.send("GET", "/").status, 401U);
    EXPECT_EQ(browser.send("POST", "/console/draft", publishBody("x")).status, 401U);
    EXPECT_EQ(browser.send("POST", "/console/login", "login_nonce=x&token=operator-token").status,
              401U)
            << "a login form of another site";
    EXPECT_EQ(browser.published, 0);
    EXPECT_EQ(browser.logIn("operator-token"), 303U);
    for (const char *path : {"/", "/console/pools", "/console/draft", "/console/explain?id=h1"}) {
        EXPECT_EQ(browser.send("GET", path).status, 200U) << path;
    }
}

// Guards against cross-site request forgery: a post from another site with the operator's cookie.
TEST(ConsoleHost, RejectsPostWithoutSessionToken)
{
    Browser browser;
    ASSERT_EQ(browser.logIn("operator-token"), 303U);
    const std::string page = browser.send("GET", "/console/draft").body;
    const std::string formToken = console::testing::inputValue(page, "form_token");
    Browser other;
    other.session = console::makeSession("operator-token", timePoint(4'000'000'000'000));
    ASSERT_EQ(other.send("GET", "/console/draft").status, 200U);
    EXPECT_EQ(other.send("POST", "/console/draft", publishBody(formToken)).status, 403U)
            << "the form of another session of the same operator";
    EXPECT_EQ(other.published, 0);
    for (const std::string &wrong : {std::string(), std::string("x"), formToken + "0"}) {
        EXPECT_EQ(browser.send("POST", "/console/draft", publishBody(wrong)).status, 403U);
        EXPECT_EQ(browser.send("POST", "/console/logout", "form_token=" + wrong).status, 403U);
    }
    EXPECT_EQ(browser.published, 0);
    const HttpResponse done = browser.send("POST", "/console/draft", publishBody(formToken));
    EXPECT_EQ(browser.published, 1);
    EXPECT_NE(done.body.find("Version 2 is in force"), std::string::npos);
    EXPECT_EQ(browser.send("POST", "/console/logout", "form_token=" + formToken).status, 303U);
    EXPECT_EQ(browser.send("GET", "/").status, 401U);
}

}  // namespace
}  // namespace poplarstream
