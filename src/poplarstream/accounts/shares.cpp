#include "poplarstream/accounts/shares.hpp"

#include <algorithm>  // for clamp, count_if, max, min
#include <chrono>  // for duration
#include <cmath>  // for exp

namespace poplarstream::accounts {

namespace {

// What an account may submit at once after a pause, on top of `minBurst`.
constexpr std::chrono::duration<double> burst{5.0};
// Jobs. Several owners divide a rate; the few jobs of a small account reach them unevenly.
constexpr double minBurst = 2;

// Time in which the weight of a use in the average falls to a third. Long enough to outlast the
// gaps between the jobs of an account, short enough that one that returns is soon given its share.
constexpr std::chrono::duration<double> useMemory{5.0};

// An account exceeds its part by this share before its rank falls, and must be below by as much
// before it rises.
constexpr double margin = 0.1;

bool exceeds(double use, double part, bool didExceed)
{
    return use > part * (didExceed ? 1 - margin : 1 + margin);
}

}  // namespace

bool takeArrival(ArrivalBucket &bucket, double jobsPerSecond, TimePoint at)
{
    const double capacity = jobsPerSecond * burst.count() + minBurst;
    if (bucket.filledAt == TimePoint{}) {
        bucket = {capacity, at};
    }
    const std::chrono::duration<double> elapsed = std::max(at, bucket.filledAt) - bucket.filledAt;
    bucket.tokens = std::min(bucket.tokens + elapsed.count() * jobsPerSecond, capacity);
    bucket.filledAt = std::max(at, bucket.filledAt);
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void rankClaims(std::span<PoolClaim *const> claims)
{
    double allWeights = 0;
    double allUse = 0;
    double waitingWeights = 0;
    double waitingUse = 0;
    int waiting = 0;
    for (const PoolClaim *const claim : claims) {
        allWeights += claim->weight;
        allUse += claim->recentUse;
        if (claim->isWaiting) {
            ++waiting;
            waitingWeights += claim->weight;
            waitingUse += claim->recentUse;
        }
    }
    for (PoolClaim *const claim : claims) {
        const ShareRank previous = claim->rank;
        claim->rank = ShareRank::Within;
        if (!claim->isWaiting || waiting < 2
            || !exceeds(claim->recentUse, allUse * claim->weight / allWeights,
                        previous != ShareRank::Within)) {
            continue;
        }
        // The accounts that do not wait leave the rest of their parts to those that do.
        const bool isExcess = exceeds(claim->recentUse, waitingUse * claim->weight / waitingWeights,
                                      previous == ShareRank::Excess);
        claim->rank = isExcess ? ShareRank::Excess : ShareRank::Lent;
    }
}

double decayedUse(double previous, double current, Milliseconds elapsed)
{
    const std::chrono::duration<double> seconds = std::max(elapsed, Milliseconds{0});
    const double kept = std::exp(-seconds / useMemory);
    return previous * kept + current * (1 - kept);
}

}  // namespace poplarstream::accounts
