#include "poplarstream/edge/caller_handler.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::edge {
namespace {

// A process that hands submissions of any size to a store, which answers with `result`.
struct Callers
{
    explicit Callers(AppendResult result)
    {
        configuration.routes.push_back({"shop.example", "/proofs/", {}});
        runtime.decode.jobSpec = [](const std::string &body) {
            jobs::JobSpec spec;
            for (std::size_t i = 0; i < body.size(); ++i) {
                spec.steps.emplace_back();
            }
            return Result<jobs::JobSpec>(std::move(spec));
        };
        runtime.store.append = [this, result](const AppendRequest &, auto done) {
            ++writes;
            done({result, 0});
        };
    }

    ResponseKind submit(std::size_t steps, const std::string &path = "/proofs/00000000000000a1")
    {
        Call call;
        call.kind = CallKind::Submit;
        call.host = "shop.example";
        call.path = path;
        call.body.assign(steps, 'x');
        ResponseKind kind = ResponseKind::Unknown;
        handler.handleCall(call, [&kind](const Response &response) { kind = response.kind; });
        return kind;
    }

    boost::asio::io_context io;
    Runtime runtime{io, {}, {}, {}, {}, {}, {}};
    Configuration configuration;
    TimePoint configurationAsOf = steadyNow();
    int writes = 0;
    CallerHandler handler{
            runtime,
            {[this] { return &configuration; }, [this] { return configurationAsOf; },
             [] { return 1; },
             [](const PeerRequest &, Milliseconds, const std::function<void(PeerResponse)> &done) {
                 done({PeerResponse::Kind::NotOwner});
             }}};
};

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
        SCOPED_TRACE("given a store that does not take it now");
        Callers callers(AppendResult::NotDone);
        EXPECT_EQ(callers.submit(1), ResponseKind::Unavailable);
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

}  // namespace
}  // namespace poplarstream::edge
