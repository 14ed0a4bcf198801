#include "poplarstream/edge/cap_lending.hpp"

#include <algorithm>  // for any_of

#include <gtest/gtest.h>  // for TEST

#include "poplarstream/accounts/loan_codec.hpp"  // for encodeRequest, decodeResponse
#include "poplarstream/edge/owner_session.hpp"  // for OwnerSession
#include "poplarstream/edge/store_fixture.hpp"  // for Store
#include "poplarstream/engine/batches.hpp"  // for collectBatch, applyStored
#include "poplarstream/engine/engine_fixture.hpp"  // for submission, step

namespace poplarstream::edge {
namespace {

using test::pollTime;
using test::Store;

// Only a fault lets a test wait this long, however busy the machine is.
constexpr Milliseconds maxTime{30'000};
const AccountId account("a");

// The owner of the first of two shards.
struct Lender
{
    Lender(Store &sharedStore, std::int64_t epoch)
        : store(sharedStore)
        , runtime{store.io, {}, store.port(), {}, {}, {}, {}}
    {
        runtime.settings.jobPartitions = 2;
        OwnerSessionHooks hooks;
        hooks.isOwner = [] { return true; };
        hooks.mayHaveResigned = [] { return false; };
        hooks.mayIssueCommands = [] { return true; };
        hooks.confirmedAt = [] { return steadyNow(); };
        hooks.fenced = [] {};
        hooks.superseded = [] {};
        hooks.requestLoans = [](int, const std::string &, const LoanRespond &done) { done({}); };
        PredecessorState predecessor;
        predecessor.epoch = epoch;
        session.emplace(runtime, ownership::Shard{0, 2}, predecessor, hooks);
        Configuration configuration;
        configuration.accounts[account] = {account, 1, {1000, 0, 4}};
        session->configure(configuration);
    }

    bool runUntil(const std::function<bool()> &isReached)
    {
        for (const TimePoint end = steadyNow() + maxTime; steadyNow() < end;) {
            store.io.run_for(std::chrono::milliseconds(pollTime.count()));
            store.io.restart();
            if (isReached()) {
                return true;
            }
        }
        return false;
    }

    // What the owner of the other shard holds after a request.
    jobs::Resources ask(std::int64_t serial, const jobs::Resources &wanted)
    {
        accounts::LoanRequest request;
        request.borrower = 1;
        request.id = {1, serial};
        if (wanted != jobs::Resources{}) {
            request.wanted[account] = wanted;
        }
        std::optional<std::string> text;
        session->respondToLoans(accounts::encodeRequest(request),
                                [&](std::optional<std::string> given) { text = given; });
        // What is lent must not be told before it is stored.
        EXPECT_FALSE(text);
        runUntil([&] { return text.has_value(); });
        const auto response = accounts::decodeResponse(text.value_or(""));
        return response && response->held.contains(account) ? response->held.at(account)
                                                            : jobs::Resources{};
    }

    Store &store;
    Runtime runtime;
    std::optional<OwnerSession> session;
};

// Guards against a part of a cap that two owners use after a takeover of the one that lent it.
TEST(CapLending, LoansSurviveATakeoverOfTheLender)
{
    SCOPED_TRACE("given an owner that lends 300 of its 500 to the other shard");
    boost::asio::io_context io;
    Store store{io, {}};
    std::optional<Lender> lender;
    lender.emplace(store, 1);
    ASSERT_TRUE(lender->runUntil([&] { return lender->session->isLoaded(); }));
    const jobs::Resources wanted{300, 0, 1};
    EXPECT_EQ(lender->ask(1, wanted), wanted);
    {
        SCOPED_TRACE("then the record is stored, and metrics show the loan");
        const std::vector<StoredRecord> &log = store.logs[{Log::Progress, 0}];
        EXPECT_TRUE(std::any_of(log.begin(), log.end(),
                                [](const auto &record) { return record.key == "loan/a"; }));
        EXPECT_NE(lender->session->metrics().find(
                          "poplar_cap_lent{shard=\"0\",resource=\"cpu_milli\"} 300\n"),
                  std::string::npos);
    }
    {
        SCOPED_TRACE("when another process takes over, it knows the loan and lends only the rest");
        lender.reset();
        lender.emplace(store, 2);
        ASSERT_TRUE(lender->runUntil([&] { return lender->session->isLoaded(); }));
        EXPECT_EQ(lender->ask(2, {}), wanted);
        EXPECT_EQ(lender->ask(3, {600, 0, 0}), (jobs::Resources{500, 0, 1}));
    }
}

// An owner whose batches are stored at once, beside the owner of the other shard.
struct Neighbour
{
    Neighbour(Runtime &runtime, int shard, Neighbour *&other)
        : lending(runtime, {shard, 2}, engine, 1,
                  {[this, &other](int, const std::string &request, const LoanRespond &done) {
                       ++requests;
                       other->lending.respond(request, done);
                   },
                   [] {}})
    {
        lending.configure({{account, {account, 1, {1000, 0, 0}}}});
    }

    void storeBatch()
    {
        engine::applyStored(engine, engine::collectBatch(engine), steadyNow());
        lending.handleStored();
    }

    engine::Engine engine;
    int requests = 0;
    CapLending lending;
};

// Guards against an owner whose work waits beside a part that nobody uses, against one that keeps
// what it has borrowed, and against messages that nobody needs.
TEST(CapLending, UnusedPartIsBorrowedAndGivenBack)
{
    SCOPED_TRACE("given two owners of which one has used its part and has a task that waits");
    boost::asio::io_context io;
    Runtime runtime{io, {}, {}, {}, {}, {}, {}};
    Neighbour *first = nullptr;
    Neighbour *second = nullptr;
    Neighbour needy(runtime, 0, second);
    Neighbour idle(runtime, 1, first);
    first = &needy;
    second = &idle;
    needy.lending.start();
    idle.lending.start();
    const auto runUntil = [&](const std::function<bool()> &isReached) {
        for (const TimePoint end = steadyNow() + maxTime; steadyNow() < end && !isReached();) {
            io.run_for(std::chrono::milliseconds(pollTime.count()));
            needy.storeBatch();
            idle.storeBatch();
        }
        return isReached();
    };
    jobs::Submission submission = engine::test::submission("job", engine::test::step(1, 100));
    submission.account = account;
    engine::submitJob(needy.engine, submission, clockReadingNow());
    needy.engine.accountUse[account].cpuMilli = 500;
    {
        SCOPED_TRACE("then it gets some of the other part, which the other can't use any more");
        ASSERT_TRUE(runUntil([&] { return needy.engine.accountLimits[account].cpuMilli > 500; }));
        EXPECT_LE(needy.engine.accountLimits[account].cpuMilli
                          + idle.engine.accountLimits[account].cpuMilli,
                  1000);
    }
    {
        SCOPED_TRACE("when its work has ended, then it gives it back, and both are silent");
        engine::cancelJob(needy.engine, jobs::JobId("job"), steadyNow());
        needy.engine.accountUse.clear();
        ASSERT_TRUE(runUntil([&] { return idle.engine.accountLimits[account].cpuMilli == 500; }));
        const int before = needy.requests + idle.requests;
        int turns = 0;
        runUntil([&] { return ++turns > 100; });
        EXPECT_LE(needy.requests + idle.requests, before + 1);
    }
}

}  // namespace
}  // namespace poplarstream::edge
