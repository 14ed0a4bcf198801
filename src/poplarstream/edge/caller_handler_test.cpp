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

    ResponseKind submit(std::size_t steps)
    {
        Call call;
        call.kind = CallKind::Submit;
        call.host = "shop.example";
        call.path = "/proofs/00000000000000a1";
        call.body.assign(steps, 'x');
        ResponseKind kind = ResponseKind::Unknown;
        handler.handleCall(call, [&kind](const Response &response) { kind = response.kind; });
        return kind;
    }

    boost::asio::io_context io;
    Runtime runtime{io, {}, {}, {}, {}, {}, {}};
    Configuration configuration;
    int writes = 0;
    CallerHandler handler{
            runtime,
            {[this] { return &configuration; }, [] { return 1; },
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

}  // namespace
}  // namespace poplarstream::edge
