#include <cstdlib>  // for getenv
#include <iostream>  // for cout
#include <random>  // for mt19937_64
#include <sstream>  // for istringstream

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "simulated_deployment.hpp"  // for SimulatedDeployment, Fault

namespace poplarstream::pools {
namespace {

// The faults beside which jobs are judged. Each seed takes some of them.
unsigned crashFaultsOf(std::uint64_t seed)
{
    std::mt19937_64 random(seed * 7919);
    unsigned faults = test::Crashes;
    for (const unsigned fault :
         {static_cast<unsigned>(test::Cuts), static_cast<unsigned>(test::SameId),
          static_cast<unsigned>(test::Handovers), static_cast<unsigned>(test::LostAnswers),
          static_cast<unsigned>(test::UnsentCommands), static_cast<unsigned>(test::OldLists),
          static_cast<unsigned>(test::PreviousWorkers), static_cast<unsigned>(test::Maintenance),
          static_cast<unsigned>(test::SlowStore), test::deadlyTasks, test::rackCrashes}) {
        faults |= random() % 2 == 0 ? fault : 0;
    }
    return faults;
}

// Guards against a task that must run once and runs twice when workers crash under deadly tasks, in
// whole racks or beside cuts and changes of owner.
TEST(CrashesSimulation, TasksRunOnce)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        EXPECT_EQ(test::SimulatedDeployment(seed, crashFaultsOf(seed)).run(), "")
                << "seed " << seed;
    }
}

// Guards against giving up jobs under whose tasks fewer than two workers have crashed, and against
// starting a task again and again that crashes each worker.
// POPLAR_CRASHES="FIRST COUNT" runs other seeds by hand.
TEST(CrashesSimulation, JobsAreGivenUpWithCause)
{
    std::uint64_t first = 201;
    std::uint64_t count = 200;
    if (const char *const text = std::getenv("POPLAR_CRASHES")) {
        std::istringstream(text) >> first >> count;
    }
    test::CrashOutcome total;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        test::SimulatedDeployment deployment(seed, crashFaultsOf(seed));
        deployment.run();
        const test::CrashOutcome outcome = deployment.crashOutcome();
        total.jobs += outcome.jobs;
        total.innocentFailed += outcome.innocentFailed;
        total.failedWithoutCause += outcome.failedWithoutCause;
        total.deadlyJobs += outcome.deadlyJobs;
        total.deadlyUnlimited += outcome.deadlyUnlimited;
        total.trace = total.trace.empty() ? outcome.trace : total.trace;
        total.deadlyTrace = total.deadlyTrace.empty() ? outcome.deadlyTrace : total.deadlyTrace;
    }
    EXPECT_EQ(total.failedWithoutCause, 0) << total.trace;
    EXPECT_EQ(total.deadlyUnlimited, 0) << total.deadlyTrace;
    std::cout << "jobs " << total.jobs << ", deadly " << total.deadlyJobs
              << ", deadly with too many starts " << total.deadlyUnlimited
              << ", innocent and failed " << total.innocentFailed << ", failed without cause "
              << total.failedWithoutCause << "\n";
}

}  // namespace
}  // namespace poplarstream::pools
