#include "poplarstream/engine/waiting_work.hpp"

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST

#include "engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/accounts/cap.hpp"  // for limitsOf

namespace poplarstream::engine {
namespace {

using test::EngineFixture;
using test::firstJob;
using test::secondJob;

const AccountId large("harbour");
const AccountId small("quay");

jobs::Submission submissionOf(const AccountId &account, const std::string &id,
                              const jobs::StepSpec &step)
{
    jobs::Submission submission = test::submission(id, step);
    submission.account = account;
    return submission;
}

// Guards against an owner that never borrows for a filling step: its runs count in full for their
// account, though they reserve no processor time on their workers.
TEST(WaitingWork, FillingStepsCountInFull)
{
    SCOPED_TRACE("given a filling step of two tasks");
    EngineFixture fixture;
    jobs::StepSpec filling = test::step(2, 1000);
    filling.fills = true;
    fixture.submit(submissionOf(large, firstJob, filling));
    const accounts::WaitingWork work = waitingWork(fixture.engine, fixture.now).at(large);
    EXPECT_EQ(work.total, (jobs::Resources{2000, 200, 0}));
    EXPECT_EQ(work.widest, (jobs::Resources{1000, 100, 0}));
}

// Guards against an owner that does not borrow for an account behind the backlog of another. Load:
// one account submits thousands of jobs.
TEST(WaitingWork, BacklogOfOneAccountHidesNoOther)
{
    SCOPED_TRACE("given 3000 jobs of one account and then one of another");
    EngineFixture fixture;
    constexpr int backlog = 3000;
    for (int i = 0; i < backlog; ++i) {
        fixture.submit(submissionOf(large, fmt::format("f{:015x}", i), test::step(1, 1000)));
    }
    fixture.submit(submissionOf(small, secondJob, test::step(1, 1000)));
    const auto waiting = waitingWork(fixture.engine, fixture.now);
    ASSERT_TRUE(waiting.contains(small));
    EXPECT_EQ(waiting.at(small).total.cpuMilli, 1000);
}

// Guards against an owner that keeps the whole cap for a gang that no cap lets start, while the
// account's jobs at other owners wait.
TEST(WaitingWork, GangWiderThanCapIsNotAskedFor)
{
    SCOPED_TRACE("given a gang of 6 cores under a cap of 4, and a narrow task");
    EngineFixture fixture;
    const jobs::Resources cap{4000, 0, 0};
    configureAccounts(fixture.engine, {{large, {large, 1, cap}}},
                      {{large, accounts::limitsOf({1000, 0, 0})}});
    jobs::StepSpec gang = test::step(6, 1000);
    gang.gang = true;
    fixture.submit(submissionOf(large, firstJob, gang));
    fixture.submit(submissionOf(large, secondJob, test::step(1, 1000)));
    const auto waiting = waitingWork(fixture.engine, fixture.now);
    EXPECT_EQ(waiting.at(large).total.cpuMilli, 1000);
    EXPECT_EQ(waiting.at(large).widest.cpuMilli, 1000);
}

}  // namespace
}  // namespace poplarstream::engine
