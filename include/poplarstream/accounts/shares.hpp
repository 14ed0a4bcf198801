#pragma once

#include <span>  // for span

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream::accounts {

// The jobs that an account may still submit within its rate.
struct ArrivalBucket
{
    double tokens = 0;
    TimePoint filledAt{};  // {}: never used, so full
};

// Takes a token for a job that arrives `at`, if there is one. Returns whether there was: whether
// the job is within `jobsPerSecond`, averaged over some seconds. Jobs beyond the rate take no
// tokens, so that an account in excess keeps its rate. An earlier `at` than that of another job is
// allowed.
bool takeArrival(ArrivalBucket &bucket, double jobsPerSecond, TimePoint at);

// How much of a full pool an account has got lately, beside the others. In order of preference.
enum class ShareRank {
    Within,  // at most its weight's part
    Lent,  // more, but of what the others leave unused at most its weight's part
    Excess,  // more than that too
};

// An account that has work running or waiting in a pool.
struct PoolClaim
{
    double weight = 1;
    double recentUse = 0;  // in any unit, the same for all accounts of the pool
    bool isWaiting = false;
    ShareRank rank = ShareRank::Within;
};

// Ranks the accounts of one pool by their recent use. An account that doesn't wait, or that waits
// alone, is within its share: there is nobody whom it keeps waiting. Hysteresis keeps the order
// from changing with each small change of use.
void rankClaims(std::span<PoolClaim *const> claims);

// An average of `current` over the last seconds, `elapsed` after the average `previous`.
double decayedUse(double previous, double current, Milliseconds elapsed);

}  // namespace poplarstream::accounts
