#pragma once

#include "poplarstream/jobs/model.hpp"  // for Resources

namespace poplarstream::accounts {

// The cap as a limit: a resource without a cap, 0, becomes the largest amount.
jobs::Resources limitsOf(const jobs::Resources &cap);

// The part of `limits` that one of `shards` owners may use without asking the others. The parts add
// up to the limits; those that cannot be divided go to the first shards.
jobs::Resources equalPart(const jobs::Resources &limits, int shard, int shards);

}  // namespace poplarstream::accounts
