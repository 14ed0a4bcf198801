#include "poplarstream/edge/account_metrics.hpp"

#include <algorithm>  // for count

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST

#include "poplarstream/accounts/cap.hpp"  // for limitsOf
#include "poplarstream/engine/engine_fixture.hpp"  // for EngineFixture, submission, step

namespace poplarstream::edge {
namespace {

using engine::test::EngineFixture;
using engine::test::firstJob;

// Guards against metrics that grow with the number of accounts, and against an account at its cap
// that nobody can tell from the metrics.
TEST(AccountMetrics, LargestAndRest)
{
    SCOPED_TRACE("given 40 accounts of which one is at its cap");
    EngineFixture fixture(2);
    EXPECT_EQ(accountMetrics(fixture.engine, 0), "");
    accounts::ClientAccounts configured;
    std::map<AccountId, jobs::Resources> limits;
    for (int i = 0; i < 40; ++i) {
        const AccountId id(fmt::format("account-{:02}", i));
        configured[id] = {id, 1, {2000, 0, 0}};
        limits[id] = accounts::limitsOf(configured[id].cap);
    }
    configureAccounts(fixture.engine, configured, limits);
    jobs::Submission submission = engine::test::submission(firstJob, engine::test::step(5, 1000));
    submission.account = AccountId("account-33");
    fixture.submit(submission);
    fixture.startAll();
    const std::string text = accountMetrics(fixture.engine, 2);
    for (const char *const line :
         {"poplar_account_used{shard=\"2\",account=\"account-33\",resource=\"cpu_milli\"} 2000\n",
          "poplar_account_limit{shard=\"2\",account=\"account-33\",resource=\"cpu_milli\"} 2000\n",
          "poplar_account_waiting_tasks{shard=\"2\",account=\"account-33\"} 3\n",
          "poplar_account_held{shard=\"2\",account=\"account-33\"} 1\n",
          "poplar_account_waiting_tasks{shard=\"2\",rest=\"30\"} 0\n"}) {
        EXPECT_NE(text.find(line), std::string::npos) << text;
    }
    EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 11 * 9);
}

}  // namespace
}  // namespace poplarstream::edge
