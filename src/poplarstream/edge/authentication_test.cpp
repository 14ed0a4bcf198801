#include "poplarstream/edge/authentication.hpp"

#include <algorithm>  // for count

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/edge/authentication_log.hpp"  // for AuthenticationLog

namespace poplarstream::edge {
namespace {

// A configuration with these keys, each of an account of its own, "of-KEY".
Configuration configurationWith(const std::vector<std::string> &keys)
{
    Configuration configuration;
    std::vector<accounts::AccountKeys> ring;
    for (const std::string &key : keys) {
        ring.push_back({AccountId("of-" + key), {key}});
        configuration.accounts[ring.back().account].id = ring.back().account;
    }
    configuration.keys = accounts::KeyRing::create(ring).value();
    return configuration;
}

Call callWith(const std::string &key)
{
    Call call;
    call.key = key;
    return call;
}

Route privateRoute()
{
    Route route{"shop.example", "/proofs/", {}};
    route.isPublic = false;
    return route;
}

std::optional<ResponseKind> rejectionOf(const AuthenticatedCall &call)
{
    return call.rejection ? std::optional(call.rejection->kind) : std::nullopt;
}

// Guards against calls that are carried out with a withdrawn key, and against a final rejection of
// a key that was added since the process could last read the operator's log.
TEST(Authentication, KeysOfAPrivateQueue)
{
    SCOPED_TRACE("given a configuration with two keys, and the next one, without the second");
    const Route route = privateRoute();
    const Configuration before = configurationWith({"key-1", "key-2"});
    const Configuration after = configurationWith({"key-1", "key-3"});
    for (const bool isCurrent : {true, false}) {
        SCOPED_TRACE("a key selects its account, also while the store is away");
        const auto accepted = authenticate(before, isCurrent, &route, callWith("key-2"));
        EXPECT_EQ(accepted.authentication, Authentication::Accepted);
        EXPECT_EQ(accepted.account, AccountId("of-key-2"));
        EXPECT_FALSE(accepted.rejection);
    }
    {
        SCOPED_TRACE("a withdrawn key, and none, are rejected for good");
        const auto withdrawn = authenticate(after, true, &route, callWith("key-2"));
        EXPECT_EQ(withdrawn.authentication, Authentication::UnknownKey);
        EXPECT_EQ(rejectionOf(withdrawn), ResponseKind::Unauthorized);
        EXPECT_EQ(rejectionOf(authenticate(after, true, &route, callWith(""))),
                  ResponseKind::Unauthorized);
    }
    for (const char *key : {"key-3", ""}) {
        SCOPED_TRACE("a key that an old configuration does not have may be tried again");
        const auto added = authenticate(before, false, &route, callWith(key));
        EXPECT_EQ(added.authentication, Authentication::NotCurrent);
        EXPECT_EQ(rejectionOf(added), ResponseKind::Unavailable);
    }
}

// Guards against a public queue that asks for keys, and against a deployment without accounts that
// rejects what it used to accept.
TEST(Authentication, QueuesThatNeedNoKey)
{
    Call malformed;
    malformed.hasMalformedKey = true;
    const Configuration configuration = configurationWith({"key-1"});
    const Route open{"shop.example", "/open/", {}};
    for (const char *key : {"", "key-1", "other"}) {
        SCOPED_TRACE("a public queue has no accounts, whatever the key");
        const auto accepted = authenticate(configuration, true, &open, callWith(key));
        EXPECT_TRUE(accepted.account.isEmpty() && !accepted.rejection);
        EXPECT_FALSE(authenticate({}, true, &open, callWith(key)).rejection);
    }
    for (const Route *route : {&open, static_cast<const Route *>(nullptr)}) {
        SCOPED_TRACE("malformed credentials are a fault of the caller if there are accounts");
        EXPECT_EQ(rejectionOf(authenticate(configuration, false, route, malformed)),
                  ResponseKind::BadRequest);
        EXPECT_FALSE(authenticate({}, true, route, malformed).rejection);
    }
    {
        SCOPED_TRACE("without any account nobody may call a private queue");
        const Route route = privateRoute();
        EXPECT_EQ(rejectionOf(authenticate({}, true, &route, malformed)),
                  ResponseKind::Unauthorized);
    }
}

// Guards against callers without a key who fill the log.
TEST(Authentication, LogIsBounded)
{
    AuthenticationLog log;
    ::testing::internal::CaptureStdout();
    for (int i = 0; i < 2500; ++i) {
        log.record(Authentication::NoKey, "proofs", timePoint(1'000'000 + i));
        log.record(Authentication::Accepted, "proofs", timePoint(1'000'000 + i));
        log.record(Authentication::NotNeeded, "open", timePoint(1'000'000 + i));
    }
    const std::string lines = ::testing::internal::GetCapturedStdout();
    EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), 3) << lines;
    EXPECT_NE(lines.find("call-rejected reason=no-key queue=proofs count=1000\n"),
              std::string::npos)
            << lines;
    EXPECT_EQ(log.prometheusText(), "poplar_calls_authenticated_total{outcome=\"accepted\"} 2500\n"
                                    "poplar_calls_authenticated_total{outcome=\"no-key\"} 2500\n");
}

}  // namespace
}  // namespace poplarstream::edge
