#include "poplarstream/accounts/shares.hpp"

#include <vector>  // for vector

#include <gtest/gtest.h>  // for TEST

namespace poplarstream::accounts {
namespace {

std::vector<ShareRank> ranksOf(std::vector<PoolClaim> &claims)
{
    std::vector<PoolClaim *> all;
    for (PoolClaim &claim : claims) {
        all.push_back(&claim);
    }
    rankClaims(all);
    std::vector<ShareRank> ranks;
    for (const PoolClaim &claim : claims) {
        ranks.push_back(claim.rank);
    }
    return ranks;
}

// Guards against an account that sends more than it is owed at the cost of the others, and against
// one that loses its own rate with it. Load: one account at 7.5 times its usual.
TEST(Shares, ArrivalsBeyondTheRate)
{
    SCOPED_TRACE("given an account that is owed 4 jobs a second and sends 30 for 20 s");
    ArrivalBucket bucket;
    TimePoint now = timePoint(1'000'000);
    int within = 0;
    for (int job = 0; job < 600; ++job) {
        within += takeArrival(bucket, 4, now) ? 1 : 0;
        now += Milliseconds(job % 3 == 0 ? 34 : 33);
    }
    EXPECT_GE(within, 80);
    EXPECT_LE(within, 104);
    {
        SCOPED_TRACE("when it was idle for a while, then its next jobs are within its rate");
        now += Milliseconds{6000};
        for (int job = 0; job < 20; ++job) {
            EXPECT_TRUE(takeArrival(bucket, 4, now));
        }
    }
    {
        SCOPED_TRACE("and a job that arrived before another does not refill the bucket");
        EXPECT_TRUE(takeArrival(bucket, 4, now - Milliseconds{5000}));
        EXPECT_TRUE(takeArrival(bucket, 4, now));
        EXPECT_FALSE(takeArrival(bucket, 4, now));
    }
}

// Guards against a large account that keeps small ones waiting, and against two large ones of which
// the larger gets still more. Load: many small accounts beside large ones.
TEST(Shares, ManySmallBesideLarge)
{
    SCOPED_TRACE("given two large accounts in a full pool and 50 small ones, of which one waits");
    std::vector<PoolClaim> claims = {{10, 60'000, true}, {10, 25'000, true}, {10, 100, true}};
    for (int small = 0; small < 49; ++small) {
        claims.push_back({10, 300, false});
    }
    const std::vector<ShareRank> ranks = ranksOf(claims);
    EXPECT_EQ(ranks[0], ShareRank::Excess);
    EXPECT_EQ(ranks[1], ShareRank::Lent);
    EXPECT_EQ(ranks[2], ShareRank::Within);
    {
        SCOPED_TRACE("when none of the others waits, then nobody is kept waiting by the largest");
        claims[1].isWaiting = claims[2].isWaiting = false;
        EXPECT_EQ(ranksOf(claims)[0], ShareRank::Within);
    }
}

// Guards against an order that changes with each plan.
TEST(Shares, Hysteresis)
{
    SCOPED_TRACE("given two accounts of equal weight, one of them a little above its part");
    std::vector<PoolClaim> claims = {{1, 1050, true}, {1, 950, true}};
    EXPECT_EQ(ranksOf(claims)[0], ShareRank::Within);
    claims[0].recentUse = 1300;
    EXPECT_EQ(ranksOf(claims)[0], ShareRank::Excess);
    {
        SCOPED_TRACE("when it comes back to where it was, then it stays until it is below");
        claims[0].recentUse = 1050;
        EXPECT_EQ(ranksOf(claims)[0], ShareRank::Excess);
        claims[0].recentUse = 700;
        EXPECT_EQ(ranksOf(claims)[0], ShareRank::Within);
    }
}

// Guards against an account that pays after a pause for what it used before it. Load: an account
// that returns after being idle.
TEST(Shares, UseIsForgotten)
{
    double use = 0;
    for (int sample = 0; sample < 60; ++sample) {
        use = decayedUse(use, 8000, Milliseconds{500});
    }
    EXPECT_NEAR(use, 8000, 100);
    EXPECT_LT(decayedUse(use, 0, Milliseconds{15'000}), 800);
    EXPECT_EQ(decayedUse(use, 0, Milliseconds{-100}), use);
}

}  // namespace
}  // namespace poplarstream::accounts
