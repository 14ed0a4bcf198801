#pragma once

#include <vector>  // for vector

namespace poplarstream::ownership {

// The processor share with which a process competes for `shard`, or owns it. `held` tells for each
// shard whether the process owns or claims it. The share for a further shard is divided by the
// number of shards, so that processes without a shard claim first, and take over from a process
// that has two. Of the shards that a process owns, only the ones after the first count less: a
// process with two is to lose one of them, not both.
double shareForShard(double processorShare, const std::vector<bool> &held, int shard);

}  // namespace poplarstream::ownership
