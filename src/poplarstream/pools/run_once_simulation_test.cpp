#include <cstdlib>  // for getenv
#include <random>  // for mt19937_64
#include <sstream>  // for istringstream

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "simulated_deployment.hpp"  // for SimulatedDeployment, Fault

namespace poplarstream::pools {
namespace {

// A quarter of the seeds has all faults that are allowed, the others a few of them.
unsigned faultsOf(std::uint64_t seed, unsigned allowed)
{
    std::mt19937_64 random(seed * 7919);
    unsigned faults = 0;
    for (unsigned i = 0; i < 4; ++i) {
        faults |= 1U << (random() % test::faultKinds);
    }
    return (seed % 4 == 0 ? test::allFaults : faults) & allowed;
}

// Guards against a task that must run once and runs twice, whatever is lost, late or out of date.
// POPLAR_RUN_ONCE="FIRST COUNT FAULTS" runs other seeds by hand; FAULTS is a mask.
TEST(RunOnce, Simulation)
{
    std::uint64_t first = 1;
    std::uint64_t count = 40;
    unsigned allowed = test::allFaults;
    if (const char *const text = std::getenv("POPLAR_RUN_ONCE")) {
        std::istringstream(text) >> first >> count >> allowed;
    }
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const unsigned faults = faultsOf(seed, allowed);
        EXPECT_EQ(test::SimulatedDeployment(seed, faults).run(), "")
                << "seed " << seed << " faults " << faults;
    }
}

// Guards against the return of faults that the simulation has found. `faults` are those that it had
// when the seed failed, since each further kind changes what a seed draws.
TEST(RunOnce, RegressionSeeds)
{
    struct Regression
    {
        std::uint64_t seed;
        unsigned faults;
    };
    // Lists that name an earlier worker of a machine ended the present one.
    for (const auto &[seed, faults] :
         {Regression{52, 524287}, Regression{108, 524287}, Regression{344, 524287},
          Regression{2075, 155656}, Regression{20740, 262143}, Regression{31184, 262143}}) {
        EXPECT_EQ(test::SimulatedDeployment(seed, faults).run(), "")
                << "seed " << seed << " faults " << faults;
    }
}

}  // namespace
}  // namespace poplarstream::pools
