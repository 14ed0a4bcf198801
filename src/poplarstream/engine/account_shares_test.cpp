#include "poplarstream/engine/account_shares.hpp"

#include <algorithm>  // for find

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST

#include "engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/accounts/cap.hpp"  // for limitsOf

namespace poplarstream::engine {
namespace {

using test::EngineFixture;

const AccountId large("large");
const AccountId quiet("quiet");

void addAccounts(Engine &engine)
{
    const jobs::Resources unlimited = accounts::limitsOf({});
    configureAccounts(engine, {{large, {large, 100, {}}}, {quiet, {quiet, 100, {}}}},
                      {{large, unlimited}, {quiet, unlimited}});
}

// Submits a job of one task of 1 core. Jobs of higher numbers arrive later.
void submitJobOf(EngineFixture &fixture, const AccountId &account, int number, int priority = 0)
{
    jobs::Submission submission =
            test::submission(fmt::format("{:016x}", number), test::step(1, 1000));
    submission.account = account;
    submission.policy.priority = priority;
    submission.policy.completionTarget = Milliseconds{60'000 + number};
    fixture.submit(submission);
}

// Accounts in the order in which their steps are ranked.
std::vector<std::string> rankedAccounts(EngineFixture &fixture)
{
    std::vector<std::string> accounts;
    for (const auto &[service, steps] : rankWaitingSteps(fixture.engine, fixture.now)) {
        for (const WaitingStep &step : steps) {
            accounts.push_back(step.job->submission.account.text());
        }
    }
    return accounts;
}

// Guards against a quiet account that waits behind the backlog of a large one, against an idle part
// of a pool, and against shares that outrank the priority of a queue.
TEST(AccountShares, QuietAccountPassesABacklog)
{
    SCOPED_TRACE("given an account whose tasks fill the pool, with as many waiting");
    EngineFixture fixture(2);
    addAccounts(fixture.engine);
    for (int job = 1; job <= 16; ++job) {
        submitJobOf(fixture, large, job);
    }
    EXPECT_EQ(fixture.startAll().size(), 8U);  // nobody else needs the pool
    fixture.now += Milliseconds{1000};
    {
        SCOPED_TRACE("when another account's jobs arrive, then they go first");
        submitJobOf(fixture, quiet, 100);
        submitJobOf(fixture, quiet, 101);
        std::vector<std::string> ranked = rankedAccounts(fixture);
        ASSERT_EQ(ranked.size(), 10U);
        EXPECT_EQ(ranked[0], "quiet");
        EXPECT_EQ(ranked[1], "quiet");
        {
            SCOPED_TRACE("but not before those of a more urgent queue");
            submitJobOf(fixture, large, 102, -1);
            EXPECT_EQ(rankedAccounts(fixture)[0], "large");
        }
    }
}

// Guards against a flood that delays jobs of accounts that send what they are owed. Load: one
// account at 7.5 times its usual.
TEST(AccountShares, JobsBeyondTheRateGoLast)
{
    SCOPED_TRACE("given an account that is owed 1 job a second and sends 15 at once");
    EngineFixture fixture(1);
    const jobs::Resources unlimited = accounts::limitsOf({});
    configureAccounts(fixture.engine, {{large, {large, 1, {}}}, {quiet, {quiet, 1, {}}}},
                      {{large, unlimited}, {quiet, unlimited}}, 0.5);
    for (int job = 1; job <= 15; ++job) {
        submitJobOf(fixture, large, job);
    }
    submitJobOf(fixture, quiet, 100);
    const std::vector<std::string> ranked = rankedAccounts(fixture);
    ASSERT_EQ(ranked.size(), 16U);
    // 4 of them: what half of the jobs of some seconds come to.
    EXPECT_EQ(std::find(ranked.begin(), ranked.end(), "quiet") - ranked.begin(), 4);
    {
        SCOPED_TRACE("and jobs that repeat or last are not counted");
        jobs::StepSpec lasting = test::step(1, 1000);
        lasting.longRunning = true;
        jobs::Submission submission = test::submission(test::firstJob, lasting);
        submission.account = large;
        fixture.submit(submission);
        EXPECT_FALSE(fixture.job().isBeyondRate);
    }
}

// Guards against another order in deployments without accounts, and against state that outlives an
// account.
TEST(AccountShares, NoAccounts)
{
    SCOPED_TRACE("given jobs of accounts that fill a pool");
    EngineFixture fixture(1);
    addAccounts(fixture.engine);
    fixture.engine.accounts.at(large).weight = 0.1;
    for (int job = 1; job <= 12; ++job) {
        submitJobOf(fixture, large, job);
    }
    fixture.startAll();
    submitJobOf(fixture, quiet, 100);
    fixture.now += Milliseconds{1000};
    EXPECT_EQ(rankedAccounts(fixture).front(), "quiet");
    {
        SCOPED_TRACE("when no account is configured, then the objective decides");
        configureAccounts(fixture.engine, {}, {});
        EXPECT_EQ(rankedAccounts(fixture).back(), "quiet");
        EXPECT_TRUE(fixture.engine.shares.arrivals.empty());
        for (const auto &[service, claims] : fixture.engine.shares.pools) {
            EXPECT_TRUE(claims.empty());
        }
    }
}

}  // namespace
}  // namespace poplarstream::engine
