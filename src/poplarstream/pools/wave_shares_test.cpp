#include "poplarstream/pools/wave_shares.hpp"

#include <set>  // for set

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for check

namespace poplarstream::pools {
namespace {

// Guards against more machines in maintenance than the operator allows, since no owner knows how
// many another has, and against a shard that waits for ever.
TEST(WaveShares, SharesInForceStayWithinTheCap)
{
    EXPECT_TRUE(rc::check([] {
        const int shardCount = *rc::gen::inRange(1, 9);
        const int cap = *rc::gen::inRange(1, 30);
        std::set<int> carriedOut;
        const auto hasCarriedOut = [&carriedOut](int shard) { return carriedOut.contains(shard); };
        while (carriedOut.size() < static_cast<std::size_t>(shardCount)) {
            int sum = 0;
            std::vector<int> active;
            for (int shard = 0; shard < shardCount; ++shard) {
                const int share = waveShare(cap, shard, shardCount, hasCarriedOut);
                if (!carriedOut.contains(shard) && share > 0) {
                    sum += share;
                    active.push_back(shard);
                }
            }
            RC_ASSERT(sum <= cap);
            RC_ASSERT(!active.empty());
            carriedOut.insert(*rc::gen::elementOf(active));
        }
    }));
}

// Guards against places of a wave that no shard uses.
TEST(WaveShares, TheWholeCapIsDivided)
{
    const auto none = [](int) { return false; };
    EXPECT_EQ(waveShare(7, 0, 1, none), 7);
    EXPECT_EQ(waveShare(7, 0, 4, none), 2);
    EXPECT_EQ(waveShare(7, 3, 4, none), 1);
    EXPECT_EQ(waveShare(2, 1, 4, none), 1);
    EXPECT_EQ(waveShare(2, 2, 4, none), 0);
    EXPECT_EQ(waveShare(0, 0, 4, none), 0);
}

// Guards against a shard that takes the place of a machine that is still in maintenance.
TEST(WaveShares, PlacesAreFreeOnceMachinesAreBack)
{
    const MachineId id("m-1");
    Pools pools;
    pools.machines[id].machine.id = id;
    WaveView wave;
    wave.wave.machines = {id, MachineId("of-another-shard")};
    EXPECT_FALSE(isMaintenanceOver(pools, wave)) << "not begun";
    wave.begun = {id};
    wave.inMaintenance = {id};
    EXPECT_FALSE(isMaintenanceOver(pools, wave)) << "as this owner knows";
    wave.inMaintenance.clear();
    pools.machines[id].machine.state = MachineState::InMaintenance;
    EXPECT_FALSE(isMaintenanceOver(pools, wave)) << "as the list says after a change of the owner";
    pools.machines[id].machine.state = MachineState::Up;
    EXPECT_TRUE(isMaintenanceOver(pools, wave));
}

}  // namespace
}  // namespace poplarstream::pools
