#pragma once

#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/base/id.hpp"  // for RackId

namespace poplarstream::ownership {

// One of the parts that the jobs, workers and machines of a deployment are divided into. Each shard
// has an owner of its own; nothing is shared between the owners of two shards.
struct Shard
{
    int index = 0;
    int count = 1;  // of the deployment; divides the number of partitions of the job log

    friend bool operator==(const Shard &, const Shard &) = default;
};

// An owner manages up to this many machines in the processor time of a larger entry host: with
// 1,100 machines, one owner needed a core at the busiest times, of which it had half.
inline constexpr int maxMachinesPerShard = 400;

// The number of shards of a new deployment: the smallest divisor of `partitions` that gives each
// shard `maxMachinesPerShard` machines at most, or `partitions` if there is none.
int shardCountFor(int machines, int partitions);

// Whether a deployment with that many partitions can have that many shards.
bool isShardCount(int count, int partitions);

// The shard of the jobs in a partition of the job log.
int shardOfPartition(int partition, int shardCount);

// The shard of the machines and workers in a rack. Consecutive racks of a name with a number are in
// different shards, so that each shard has its part of each zone and pool. Without a rack, shard 0.
int shardOfRack(const RackId &rack, int shardCount);

// The record of the ownership log that holds the number of shards. It is written once.
std::string encodeDivision(int shardCount);
std::optional<int> decodeDivision(std::string_view text, int partitions);

}  // namespace poplarstream::ownership
