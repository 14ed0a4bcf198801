#include "poplarstream/edge/caller_handler.hpp"

#include <optional>  // for optional

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/edge/submission_retry.hpp"  // for responseMargin
#include "poplarstream/jobs/codec.hpp"  // for decodeSubmission

namespace poplarstream::edge {
namespace {

// A process that hands submissions of any size to a store, which answers with `result`.
struct Callers
{
    explicit Callers(AppendResult given)
        : result(given)
    {
        configuration.routes.push_back({"shop.example", "/proofs/", {}});
        runtime.decode.jobSpec = [](const std::string &body) {
            jobs::JobSpec spec;
            for (std::size_t i = 0; i < body.size(); ++i) {
                spec.steps.emplace_back().longRunning = body == "long";
            }
            spec.repeatCount = body == "timed" ? 2 : 0;
            return Result<jobs::JobSpec>(std::move(spec));
        };
    }

    // Adds accounts with a key each, and a queue that needs one of them.
    void addAccounts()
    {
        Route route{"shop.example", "/private/", {}};
        route.isPublic = false;
        configuration.routes.push_back(route);
        const std::vector<accounts::AccountKeys> keys = {{AccountId("a"), {"s3cr3t-a"}},
                                                         {AccountId("b"), {"s3cr3t-b"}}};
        for (const accounts::AccountKeys &each : keys) {
            configuration.accounts[each.account].id = each.account;
        }
        configuration.keys = accounts::KeyRing::create(keys).value();
    }

    Response call(CallKind kind, const std::string &path, const std::string &key,
                  const std::string &body = "x")
    {
        Call call;
        call.kind = kind;
        call.host = "shop.example";
        call.path = path;
        call.key = key;
        call.hasMalformedKey = key.find(' ') != std::string::npos;
        call.body = body;
        Response response;
        handler.handleCall(call, [&response](const Response &given) { response = given; });
        return response;
    }

    ResponseKind submit(std::size_t steps, const std::string &path = "/proofs/00000000000000a1")
    {
        return respond(CallKind::Submit, steps, path);
    }

    ResponseKind respond(CallKind callKind, std::size_t steps, const std::string &path)
    {
        Call call;
        call.kind = callKind;
        call.host = "shop.example";
        call.path = path;
        call.body.assign(steps, 'x');
        call.remaining = remaining;
        std::optional<ResponseKind> kind;
        handler.handleCall(call, [&kind](const Response &response) { kind = response.kind; });
        io.restart();
        while (!kind && io.run_one() > 0) {}
        return kind.value();
    }

    StorePort port()
    {
        StorePort made;
        made.append = [this](const AppendRequest &request, auto done) {
            ++writes;
            if (writes > failingWrites) {
                written.insert(written.end(), request.records.begin(), request.records.end());
                done({result, 0});
            } else {
                done({AppendResult::Unknown, 0});
            }
        };
        return made;
    }

    boost::asio::io_context io;
    AppendResult result;
    int failingWrites = 0;  // the first ones, whose outcome is not known
    std::vector<StoredRecord> written;
    Milliseconds remaining{3000};
    Runtime runtime{io, {}, port(), {}, {}, {}, {}};
    Configuration configuration;
    TimePoint configurationAsOf = steadyNow();
    bool hasConfiguration = true;
    int writes = 0;
    std::vector<PeerRequest> requests;  // to owners
    std::optional<accounts::Hold> hold;  // of all accounts
    int ownerCalls = 0;
    int failingOwnerCalls = 1'000'000;  // the first ones: the shard has no owner
    CallerHandler handler{runtime,
                          {[this] { return hasConfiguration ? &configuration : nullptr; },
                           [this] { return configurationAsOf; },
                           [] { return 1; },
                           [this](const PeerRequest &request, Milliseconds,
                                  const std::function<void(PeerResponse)> &done) {
                               requests.push_back(request);
                               ++ownerCalls;
                               done({ownerCalls > failingOwnerCalls
                                             ? PeerResponse::Kind::State
                                             : PeerResponse::Kind::NotOwner});
                           },
                           {},
                           [this](int, const AccountId &) { return hold; }}};
};

const std::string privateQueue = "/private/";
const std::string privateJob = privateQueue + "00000000000000a1";

// Guards against a job that is too large for the store and is refused as if it could be retried,
// for ever.
TEST(CallerHandler, WhatCannotBeStoredIsRefusedForGood)
{
    {
        SCOPED_TRACE("given a job that takes more than a record of the store may have");
        Callers callers(AppendResult::Stored);
        callers.runtime.settings.limits.maxRecordBytes = 2000;
        EXPECT_EQ(callers.submit(1), ResponseKind::Accepted);
        EXPECT_EQ(callers.writes, 1);
        EXPECT_EQ(callers.submit(500), ResponseKind::BadRequest);
        EXPECT_EQ(callers.writes, 1) << "it is not sent to the store";
    }
    {
        SCOPED_TRACE("given a store that refuses the record for good");
        Callers callers(AppendResult::Refused);
        EXPECT_EQ(callers.submit(1), ResponseKind::BadRequest);
    }
    {
        SCOPED_TRACE("given a store that refuses it after an attempt that may have stored it");
        Callers callers(AppendResult::Refused);
        callers.failingWrites = 1;
        EXPECT_EQ(callers.submit(1), ResponseKind::Unknown);
    }
    {
        SCOPED_TRACE("given a store that does not take it now, and a caller without time left");
        Callers callers(AppendResult::NotDone);
        callers.remaining = responseMargin;
        EXPECT_EQ(callers.submit(1), ResponseKind::Unavailable);
    }
}

// Guards against a caller that is told at once that the outcome is not known, although it would
// wait until the store is back.
TEST(CallerHandler, TriesOnWhileTheCallerWaits)
{
    {
        SCOPED_TRACE("given a store that resets the first connections");
        Callers callers(AppendResult::Stored);
        callers.failingWrites = 3;
        EXPECT_EQ(callers.submit(1), ResponseKind::Accepted);
        EXPECT_EQ(callers.writes, 4);
        ASSERT_EQ(callers.written.size(), 1U);
        EXPECT_EQ(callers.written[0].key, "00000000000000a1");
        {
            SCOPED_TRACE("then the next caller is served without a delay");
            EXPECT_EQ(callers.submit(1, "/proofs/00000000000000a2"), ResponseKind::Accepted);
            EXPECT_EQ(callers.writes, 5);
        }
    }
    {
        SCOPED_TRACE("given a store that stays away, a caller that was sent is not refused");
        Callers callers(AppendResult::Stored);
        callers.failingWrites = 1000;
        callers.remaining = Milliseconds{800};
        EXPECT_EQ(callers.submit(1), ResponseKind::Unknown);
        EXPECT_GT(callers.writes, 1);
        EXPECT_NE(callers.handler.metrics().find("given_up_total{answer=\"unknown\"} 1"),
                  std::string::npos);
    }
}

// Guards against callers that are refused at once while a shard has no owner for a moment.
TEST(CallerHandler, LooksUpAgainWhileTheShardHasNoOwner)
{
    const std::string path = "/proofs/00000000000000a1";
    Callers callers(AppendResult::Stored);
    callers.failingOwnerCalls = 3;
    EXPECT_EQ(callers.respond(CallKind::Lookup, 0, path), ResponseKind::State);
    EXPECT_EQ(callers.ownerCalls, 4);
    {
        SCOPED_TRACE(
                "given a shard that stays without one, the caller is answered without a state");
        callers.failingOwnerCalls = 1'000'000;
        callers.remaining = Milliseconds{500};
        EXPECT_EQ(callers.respond(CallKind::Lookup, 0, path), ResponseKind::Unavailable);
        EXPECT_GT(callers.ownerCalls, 5);
    }
}

// Guards against a process that ends before it has answered callers who would wait for longer.
TEST(CallerHandler, AnswersBeforeTheProcessEnds)
{
    for (const CallKind kind : {CallKind::Submit, CallKind::Lookup}) {
        SCOPED_TRACE("given a caller that waits for a store, or an owner, that is away");
        Callers callers(AppendResult::Stored);
        callers.failingWrites = 1'000'000;
        Call call;
        call.kind = kind;
        call.host = "shop.example";
        call.path = "/proofs/00000000000000a1";
        call.body = "x";
        std::optional<ResponseKind> given;
        const Respond respond = [&given](const Response &response) { given = response.kind; };
        callers.handler.handleCall(call, respond);
        EXPECT_FALSE(given);
        {
            SCOPED_TRACE("when the process ends soon, it is answered without another wait");
            const int calls = callers.writes + callers.ownerCalls;
            callers.handler.leave(steadyNow());
            while (!given && callers.io.run_one() > 0) {}
            EXPECT_EQ(given,
                      kind == CallKind::Submit ? ResponseKind::Unknown : ResponseKind::Unavailable);
            EXPECT_LE(callers.writes + callers.ownerCalls, calls + 1);
        }
        {
            SCOPED_TRACE("so is one that calls afterwards");
            given.reset();
            callers.handler.handleCall(call, respond);
            const int calls = callers.writes + callers.ownerCalls;
            while (!given && callers.io.run_one() > 0) {}
            EXPECT_EQ(callers.writes + callers.ownerCalls, calls);
        }
    }
}

// Guards against a final refusal of a queue that was added while this process could not read the
// operator's log.
TEST(CallerHandler, UnknownQueueIsRefusedForGoodOnlyByACurrentConfiguration)
{
    const std::string unknownQueue = "/plates/00000000000000a1";
    Callers callers(AppendResult::Stored);
    {
        SCOPED_TRACE("given a configuration that has just been read");
        EXPECT_EQ(callers.submit(1, unknownQueue), ResponseKind::NoSuchQueue);
    }
    {
        SCOPED_TRACE("given one that was read longer ago than a change takes to be in force");
        callers.configurationAsOf =
                steadyNow() - callers.runtime.settings.configurationDelay - Milliseconds{1};
        EXPECT_EQ(callers.submit(1, unknownQueue), ResponseKind::Unavailable);
        EXPECT_EQ(callers.submit(1), ResponseKind::Accepted) << "known queues are served on";
    }
}

// Guards against a call without a valid key that has an effect or learns something, and against
// keys in the log, the metrics or a response.
TEST(CallerHandler, CallsWithoutAValidKeyHaveNoEffect)
{
    Callers callers(AppendResult::Stored);
    callers.addAccounts();
    std::string shown;
    ::testing::internal::CaptureStdout();
    const auto check = [&](const std::string &key, ResponseKind expected) {
        for (const CallKind kind : {CallKind::Submit, CallKind::Lookup, CallKind::Cancel}) {
            for (const std::string &path : {privateJob, privateQueue}) {
                const Response response = callers.call(kind, path, key);
                EXPECT_EQ(response.kind, expected) << path << " " << static_cast<int>(kind);
                shown += response.message;
            }
        }
    };
    check("", ResponseKind::Unauthorized);
    check("s3cr3t-other", ResponseKind::Unauthorized);
    check("s3cr3t a", ResponseKind::BadRequest);
    callers.configurationAsOf = steadyNow() - callers.runtime.settings.configurationDelay * 2;
    check("s3cr3t-other", ResponseKind::Unavailable);
    callers.hasConfiguration = false;
    check("s3cr3t-a", ResponseKind::Unavailable);
    shown += ::testing::internal::GetCapturedStdout() + callers.handler.metrics();
    EXPECT_EQ(callers.writes, 0);
    EXPECT_TRUE(callers.requests.empty());
    EXPECT_EQ(shown.find("s3cr3t"), std::string::npos) << shown;
    EXPECT_NE(shown.find("760 call-rejected"), std::string::npos) << shown;
    EXPECT_NE(shown.find("{outcome=\"unknown-key\"} 6\n"), std::string::npos) << shown;
}

// Guards against a job, lookup or cancellation that loses its account on the way to the owner.
TEST(CallerHandler, AccountOfACall)
{
    Callers callers(AppendResult::Stored);
    callers.addAccounts();
    ::testing::internal::CaptureStdout();
    callers.call(CallKind::Submit, privateJob, "s3cr3t-b");
    const auto submission = jobs::decodeSubmission(callers.written.back().value.value_or(""));
    ASSERT_TRUE(submission);
    EXPECT_EQ(submission.value().account, AccountId("b"));
    callers.call(CallKind::Cancel, privateJob, "s3cr3t-a");
    EXPECT_EQ(callers.written.back().value, "cancelled by a");
    callers.call(CallKind::Lookup, privateJob, "s3cr3t-a");
    ASSERT_EQ(callers.requests.size(), 1U);
    EXPECT_EQ(callers.requests[0].account, AccountId("a"));
    {
        SCOPED_TRACE("on a public queue there is none, whatever the key");
        callers.call(CallKind::Cancel, "/proofs/00000000000000a1", "s3cr3t-a");
        EXPECT_EQ(callers.written.back().value, "cancelled");
        callers.configuration.routes.front().policy.queue = jobs::QueueId("proofs");
        callers.call(CallKind::Cancel, "/proofs/00000000000000a1", "s3cr3t-a");
        EXPECT_EQ(callers.written.back().value, "cancelled through proofs");
    }
    EXPECT_EQ(::testing::internal::GetCapturedStdout().find("s3cr3t"), std::string::npos);
}

// Guards against jobs that are rejected for a backlog which they do not add to.
TEST(CallerHandler, HoldRejectsOnlyWhatWouldWait)
{
    Callers callers(AppendResult::Stored);
    callers.addAccounts();
    callers.configuration.routes.back().policy.service = ServiceId("proofs");
    callers.hold = {0, Milliseconds{4000}, {ServiceId("proofs")}};
    const auto submit = [&callers](const std::string &body) {
        return callers.call(CallKind::Submit, privateJob, "s3cr3t-a", body).kind;
    };
    EXPECT_EQ(submit("x"), ResponseKind::Overloaded);
    EXPECT_EQ(submit("long"), ResponseKind::Accepted) << "it runs until it is cancelled";
    EXPECT_EQ(submit("timed"), ResponseKind::Accepted) << "it waits for its times";
    callers.configuration.routes.back().policy.service = ServiceId("plates");
    EXPECT_EQ(submit("x"), ResponseKind::Accepted) << "another service";
}

}  // namespace
}  // namespace poplarstream::edge
