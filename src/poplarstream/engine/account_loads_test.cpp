#include "poplarstream/engine/account_loads.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/accounts/cap.hpp"  // for limitsOf
#include "poplarstream/engine/engine_fixture.hpp"  // for EngineFixture

namespace poplarstream::engine {
namespace {

using test::EngineFixture;

// An owner with two workers of 4 cores, and an account that is owed as much as all others.
struct Accounts : EngineFixture
{
    void configure(const std::string &id, double weight, const jobs::Resources &cap = {})
    {
        const AccountId account(id);
        engine.accounts[account] = {account, weight, cap};
        engine.accountLimits[account] = accounts::limitsOf(cap);
    }

    // Jobs of 1 s of 4 cores each, which are to be done in 0.5 s + 0.6 s.
    void submitJobs(const std::string &account, int count)
    {
        for (int i = 0; i < count; ++i) {
            const std::string number = std::to_string(100 + ++submitted);
            jobs::Submission submission =
                    test::submission("0000000000000" + number, test::step(2, 4000));
            submission.account = AccountId(account);
            submit(submission);
        }
    }

    accounts::AccountLoad loadOf(const std::string &account)
    {
        return accountLoads(engine, 2, now).at(AccountId(account));
    }

    int submitted = 0;
};

// Guards against accounts that are judged by the work of others: each waits for its own work, with
// its part of the capacity.
TEST(AccountLoads, WorkOfAnAccountAgainstItsShare)
{
    Accounts owner;
    EXPECT_TRUE(accountLoads(owner.engine, 2, owner.now).empty());
    owner.configure("hot", 3);
    owner.configure("calm", 1);
    {
        SCOPED_TRACE("given an account alone, it has all 8 cores");
        owner.submitJobs("hot", 40);
        EXPECT_EQ(owner.loadOf("hot").wait, Milliseconds{20'000});
        EXPECT_EQ(owner.loadOf("hot").objective, Milliseconds{1100});
        EXPECT_DOUBLE_EQ(owner.loadOf("hot").acceptedPerS, 20);
        EXPECT_DOUBLE_EQ(owner.loadOf("hot").owedPerS, 1.5) << "two shards";
    }
    {
        SCOPED_TRACE("given another one that waits, each has its share");
        owner.submitJobs("calm", 2);
        EXPECT_EQ(owner.loadOf("hot").wait, Milliseconds{26'666});
        EXPECT_EQ(owner.loadOf("calm").wait, Milliseconds{4000});
    }
    {
        SCOPED_TRACE("an account waits for its cap, too");
        owner.configure("calm", 1, {1000, 0, 0});
        EXPECT_EQ(owner.loadOf("calm").wait, Milliseconds{8000});
    }
    {
        SCOPED_TRACE("jobs of an earlier window are waited for, but do not count as sent");
        owner.now += accounts::admissionWindow;
        EXPECT_DOUBLE_EQ(owner.loadOf("hot").acceptedPerS, 0);
        EXPECT_EQ(owner.loadOf("hot").wait, Milliseconds{26'666});
    }
}

// Guards against an account that is held for jobs that add nothing to its backlog, or in services
// in which it is not late.
TEST(AccountLoads, OnlyWorkThatWaitsCounts)
{
    Accounts owner;
    owner.configure("hot", 1);
    owner.submitJobs("hot", 40);
    const double sentPerS = owner.loadOf("hot").acceptedPerS;
    const ServiceId late("shop");
    jobs::Submission timed = test::submission("0000000000000021", test::step(2, 4000));
    timed.account = AccountId("hot");
    timed.spec.repeatCount = 2;
    owner.submit(timed);
    jobs::Submission lasting = test::submission("0000000000000022", test::step(2, 4000));
    lasting.account = AccountId("hot");
    lasting.spec.steps[0].longRunning = true;
    owner.submit(lasting);
    EXPECT_DOUBLE_EQ(owner.loadOf("hot").acceptedPerS, sentPerS);
    EXPECT_EQ(owner.loadOf("hot").lateServices, std::set{late});
}

}  // namespace
}  // namespace poplarstream::engine
