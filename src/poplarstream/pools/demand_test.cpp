#include "poplarstream/pools/demand.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/accounts/cap.hpp"  // for limitsOf
#include "poplarstream/engine/engine_fixture.hpp"  // for EngineFixture, submission, step

namespace poplarstream::pools {
namespace {

using engine::test::EngineFixture;
using engine::test::firstJob;
using engine::test::step;
using engine::test::submission;

constexpr jobs::Resources machineCapacity{4000, 10'000, 0};

int machinesFor(const EngineFixture &fixture, int available)
{
    const std::map<ServiceId, Demand> demands = demandByService(fixture.engine, fixture.now);
    return machinesFor(demands.at(ServiceId("shop")), machineCapacity, available, false);
}

// Guards against a gang that never starts because its pool has fewer workers than its members need,
// though the cores of these would do.
TEST(Demand, GangNeedsItsWorkersAtTheSameTime)
{
    SCOPED_TRACE("given a gang of four small tasks, one on each worker");
    EngineFixture fixture(2);
    jobs::StepSpec gang = step(4, 100);
    gang.gang = true;
    gang.antiAffinity = 1;
    fixture.submit(submission(firstJob, gang));
    EXPECT_EQ(machinesFor(fixture, 2), 4);
    {
        SCOPED_TRACE("when it is expired, its job is still to run");
        fixture.now += Milliseconds{60'000};
        EXPECT_EQ(machinesFor(fixture, 2), 4);
    }
    {
        SCOPED_TRACE("when its job is cancelled");
        cancelJob(fixture.engine, engine::JobId(firstJob), fixture.now);
        EXPECT_EQ(machinesFor(fixture, 2), 0);
    }
}

// Guards against a task of most of a machine that never starts: each worker of its pool has a part
// of its room in use, by tasks that run on, and the sum of what is free would hold it.
TEST(Demand, LateTaskOfMostOfAMachineGetsOneMore)
{
    SCOPED_TRACE("given a task that takes most of a machine, and one that takes little");
    for (const std::int64_t cpuMilli : {3500, 1000}) {
        EngineFixture fixture(3);
        fixture.submit(submission(firstJob, step(1, cpuMilli)));
        EXPECT_EQ(machinesFor(fixture, 3), 1) << "while it can be done in time";
        for (const Milliseconds wait : {Milliseconds{2000}, Milliseconds{60'000}}) {
            SCOPED_TRACE("when its job will be late, and when it is expired");
            fixture.now += wait;
            EXPECT_EQ(machinesFor(fixture, 3), cpuMilli > 2000 ? 4 : 0);
        }
    }
}

// Guards against machines for work that no cap lets start: they would stand idle. Load: one account
// with 40 cores of waiting work under a cap of 8, beside a quiet one.
TEST(Demand, WorkBeyondACapAsksForNoMachine)
{
    SCOPED_TRACE("given an account that submits five times its cap");
    EngineFixture fixture(2);
    const AccountId account("harbour");
    const jobs::Resources cap{8000, 0, 0};
    configureAccounts(fixture.engine, {{account, {account, 1, cap}}},
                      {{account, accounts::limitsOf(cap)}});
    jobs::Submission flood = submission(firstJob, step(40, 1000));
    flood.account = account;
    fixture.submit(flood);
    EXPECT_EQ(machinesFor(fixture, 2), 3);  // 8 cores; not all of a machine is counted on
    {
        SCOPED_TRACE("when it runs, then it asks for what is left of its cap");
        fixture.startAll();
        EXPECT_EQ(machinesFor(fixture, 2), 3);
    }
    {
        SCOPED_TRACE("when the quiet account's work waits, then it asks for all of it");
        fixture.submit(submission(engine::test::secondJob, step(8, 1000)));
        EXPECT_EQ(machinesFor(fixture, 2), 5);
    }
    {
        SCOPED_TRACE("when the account is removed, then only what runs counts");
        configureAccounts(fixture.engine, {}, {});
        EXPECT_EQ(demandByService(fixture.engine, fixture.now).at(ServiceId("shop")).waiting,
                  (jobs::Resources{8000, 800, 0}));
    }
}

}  // namespace
}  // namespace poplarstream::pools
