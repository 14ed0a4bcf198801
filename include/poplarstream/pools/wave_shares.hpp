#pragma once

#include <functional>  // for function

#include "poplarstream/pools/state.hpp"  // for Pools, WaveView

namespace poplarstream::pools {

// How many machines of a wave `shard` may have out of service at the same time, out of `cap` for
// all shards together. If there are fewer places than shards, the shards take turns in the order of
// their numbers: each has one place, once enough of the shards before it have carried out the wave.
int waveShare(int cap, int shard, int shardCount,
              const std::function<bool(int shard)> &hasCarriedOut);

// Whether all machines of the wave that are known here have had their maintenance and are back. A
// later shard may take their places only then.
bool isMaintenanceOver(const Pools &pools, const WaveView &wave);

}  // namespace poplarstream::pools
