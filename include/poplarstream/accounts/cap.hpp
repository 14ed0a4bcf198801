#pragma once

#include <string>  // for string

#include "poplarstream/jobs/model.hpp"  // for Resources

namespace poplarstream::accounts {

// The cap as a limit: a resource without a cap, 0, becomes the largest amount.
jobs::Resources limitsOf(const jobs::Resources &cap);

// The part of `limits` that one of `shards` owners may use without asking the others. The parts add
// up to the limits; those that cannot be divided go to the first shards.
jobs::Resources equalPart(const jobs::Resources &limits, int shard, int shards);

// What an owner knows of an account when it decides about a start.
struct OwnedCap
{
    jobs::Resources limits;  // what the account may have running on this owner's workers
    jobs::Resources whole;  // the cap of the deployment, as limitsOf gives it
    double overshoot = 0;  // share by which the cap may be passed
};

// Whether a task that needs `need` may start beside `use`, what the account has running.
//
// In each resource that it needs the task fits into the limit, or less than half of the limit is
// used. The second is for tasks wider than half of the cap, which would wait behind narrow ones for
// ever. It passes the limit by less than one task if the owner holds the whole cap of the resource,
// and otherwise at most by the overshoot: the sum over several owners that each pass theirs by a
// task would break the cap.
bool mayStart(const OwnedCap &cap, const jobs::Resources &use, const jobs::Resources &need);

// The same for a gang, whose tasks start together. It fits into the limits as a whole. If the
// account runs nothing, the limits are raised as far as they may be passed.
bool mayStartGang(const OwnedCap &cap, const jobs::Resources &use, const jobs::Resources &need,
                  int members);

// Whether the gang may start if the account runs nothing but `lasting` and this owner holds the
// whole cap.
bool canGangFit(const OwnedCap &cap, const jobs::Resources &lasting, const jobs::Resources &need,
                int members);

// Whether a start that was decided earlier may be sent. `use` includes it. The limits may have
// dropped since.
bool maySendStart(const OwnedCap &cap, const jobs::Resources &use, const jobs::Resources &need);

// What is used of each resource that has a limit, as key=value pairs for the decision log, each
// with a space in front.
std::string capText(const jobs::Resources &use, const jobs::Resources &limits);

}  // namespace poplarstream::accounts
