#include "poplarstream/ownership/division.hpp"

#include <map>  // for map

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for check

#include "poplarstream/base/malformed_json.hpp"  // for malformed

namespace poplarstream::ownership {
namespace {

constexpr int partitions = 4;

// Guards against an owner with several times the machines of another, and against a shard that
// lacks the machines of a zone: a rack of one pool follows the rack before it.
TEST(Division, ConsecutiveRacksAreInDifferentShards)
{
    SCOPED_TRACE("given the racks of five zones");
    std::map<int, int> racksOfShard;
    for (int zone = 1; zone <= 5; ++zone) {
        for (int number = 0; number <= 18; ++number) {
            const int shard = shardOfRack(RackId(fmt::format("r{}-{}", zone, number)), partitions);
            const int next =
                    shardOfRack(RackId(fmt::format("r{}-{}", zone, number + 1)), partitions);
            EXPECT_EQ(next, (shard + 1) % partitions);
            ++racksOfShard[shard];
        }
    }
    {
        SCOPED_TRACE("then each shard has a quarter of each zone, up to one rack");
        ASSERT_EQ(racksOfShard.size(), static_cast<std::size_t>(partitions));
        for (const auto &[shard, racks] : racksOfShard) {
            EXPECT_GE(racks, 5 * (19 / partitions));
            EXPECT_LE(racks, 5 * (19 / partitions + 1));
        }
    }
}

// Guards against a machine or worker without an owner, or with a different one in each process.
TEST(Division, AnyRackHasAShard)
{
    EXPECT_EQ(shardOfRack(RackId(), partitions), 0);
    EXPECT_EQ(shardOfRack(RackId("r1-7"), 1), 0);
    EXPECT_EQ(shardOfRack(RackId("12"), partitions),
              (shardOfRack(RackId("11"), partitions) + 1) % partitions);
    EXPECT_TRUE(rc::check([](const std::string &name) {
        const int shard = shardOfRack(RackId(name), partitions);
        RC_ASSERT(shard >= 0);
        RC_ASSERT(shard < partitions);
        RC_ASSERT(shardOfRack(RackId(name), 1) == 0);
    }));
    EXPECT_EQ(shardOfRack(RackId("row-99999999999999999999999999"), partitions),
              shardOfRack(RackId("row-99999999999999999999999999"), partitions));
}

// Guards against a small deployment that pays for several owners, and against a large one with an
// owner whose core is full.
TEST(Division, ShardsFollowTheNumberOfMachines)
{
    EXPECT_EQ(shardCountFor(0, partitions), 1);
    EXPECT_EQ(shardCountFor(400, partitions), 1);
    EXPECT_EQ(shardCountFor(401, partitions), 2);
    EXPECT_EQ(shardCountFor(1100, partitions), 4);
    EXPECT_EQ(shardCountFor(100'000, partitions), 4);
    EXPECT_EQ(shardCountFor(1100, 1), 1);
    EXPECT_EQ(shardCountFor(700, 3), 3) << "a shard has the same number of partitions as another";
}

// Guards against a partition of the job log that no owner, or more than one, follows.
TEST(Division, EachPartitionHasOneShard)
{
    for (const int count : {1, 2, 4}) {
        std::map<int, int> partitionsOfShard;
        for (int partition = 0; partition < partitions; ++partition) {
            ++partitionsOfShard[shardOfPartition(partition, count)];
        }
        ASSERT_EQ(partitionsOfShard.size(), static_cast<std::size_t>(count));
        for (const auto &[shard, number] : partitionsOfShard) {
            EXPECT_EQ(number, partitions / count) << shard;
        }
    }
}

// Guards against processes that divide the same deployment differently, and against one that ends
// because of a malformed record.
TEST(Division, RecordRoundTrip)
{
    EXPECT_EQ(decodeDivision(encodeDivision(4), partitions), 4);
    EXPECT_EQ(decodeDivision(encodeDivision(1), partitions), 1);
    EXPECT_FALSE(decodeDivision(encodeDivision(3), partitions)) << "does not divide the partitions";
    EXPECT_FALSE(decodeDivision(encodeDivision(8), partitions));
    EXPECT_FALSE(decodeDivision("[]", partitions));
    EXPECT_TRUE(rc::check([] {
        const auto decoded = decodeDivision(test::malformed(encodeDivision(2)), partitions);
        RC_ASSERT(!decoded || isShardCount(*decoded, partitions));
    }));
}

}  // namespace
}  // namespace poplarstream::ownership
