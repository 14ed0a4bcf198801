#include "poplarstream/accounts/cap.hpp"

#include <limits>  // for numeric_limits
#include <vector>  // for vector

#include <gtest/gtest.h>  // for TEST
#include <rapidcheck.h>  // for check, gen

namespace poplarstream::accounts {
namespace {

// Guards against a resource without a cap that nobody may use, and against parts of a cap that
// together exceed it.
TEST(Cap, PartsAddUpToTheCap)
{
    SCOPED_TRACE("given an account with a cap on processors and accelerators");
    const jobs::Resources limits = limitsOf({10'001, 0, 2});
    {
        SCOPED_TRACE("when four owners divide it");
        jobs::Resources sum;
        for (int shard = 0; shard < 4; ++shard) {
            const jobs::Resources part = equalPart(limits, shard, 4);
            sum.cpuMilli += part.cpuMilli;
            sum.gpus += part.gpus;
            EXPECT_EQ(part.memoryMb, std::numeric_limits<std::int64_t>::max());
        }
        EXPECT_EQ(sum.cpuMilli, 10'001);
        EXPECT_EQ(sum.gpus, 2);
    }
}

// Guards against a cap that is broken by the sum of several owners: whoever starts tasks and gangs
// of any width, and however the cap is divided, no start finds more than the cap and its overshoot
// in use.
TEST(Cap, HoldsOverAllOwners)
{
    EXPECT_TRUE(rc::check([] {
        constexpr double overshoot = 0.1;
        const std::int64_t whole = *rc::gen::inRange(1, 10'000);
        const int owners = *rc::gen::inRange(1, 5);
        std::vector<OwnedCap> caps;
        std::int64_t left = whole;
        for (int owner = 0; owner < owners; ++owner) {
            const std::int64_t part =
                    owner + 1 == owners ? left : *rc::gen::inRange<std::int64_t>(0, left + 1);
            left -= part;
            caps.push_back({limitsOf({0, 0, 0}), limitsOf({whole, 0, 0}), overshoot});
            caps.back().limits.cpuMilli = part;
        }
        std::vector<jobs::Resources> uses(caps.size());
        for (int start = 0; start < 30; ++start) {
            const auto owner = *rc::gen::inRange<std::size_t>(0, caps.size());
            const std::int64_t width = *rc::gen::inRange<std::int64_t>(1, whole * 2 + 1);
            const jobs::Resources need{1 + width / *rc::gen::inRange(1, 20), 0, 0};
            const int members = *rc::gen::inRange(1, 5);
            const bool isGang = members > 1;
            if (!(isGang ? mayStartGang(caps[owner], uses[owner], need, members)
                         : mayStart(caps[owner], uses[owner], need))) {
                continue;
            }
            for (int member = 0; member < members; ++member) {
                std::int64_t running = 0;
                for (const jobs::Resources &use : uses) {
                    running += use.cpuMilli;
                }
                RC_ASSERT(static_cast<double>(running)
                          <= static_cast<double>(whole) * (1 + overshoot));
                uses[owner] += need;
            }
            RC_ASSERT(maySendStart(caps[owner], uses[owner], need));
        }
    }));
}

// Guards against a task wider than the cap of one resource that never starts: an owner borrows only
// of the resources that it lacks, so that it does not hold the whole cap of the others.
TEST(Cap, OwnerOfAllProcessorsStartsAWideTask)
{
    SCOPED_TRACE("given an owner with all processors and half of the memory of a cap");
    OwnedCap cap{{4000, 500, 0}, limitsOf({4000, 1000, 1}), 0.1};
    {
        SCOPED_TRACE("then a task that is wider than the processors starts, but not a second one");
        EXPECT_TRUE(mayStart(cap, {}, {6000, 100, 0}));
        EXPECT_TRUE(maySendStart(cap, {6000, 100, 0}, {6000, 100, 0}));
        EXPECT_FALSE(mayStart(cap, {6000, 100, 0}, {6000, 100, 0}));
    }
    {
        SCOPED_TRACE("and one that passes the memory by more than the overshoot does not");
        EXPECT_FALSE(mayStart(cap, {}, {1000, 600, 0}));
    }
    {
        SCOPED_TRACE("and without all processors the wide one does not");
        cap.limits.cpuMilli = 3999;
        EXPECT_FALSE(mayStart(cap, {}, {6000, 100, 0}));
    }
}

// Guards against tasks without accelerators that wait for as long as their account has more of
// these running than it may: after the cap has dropped, or at a new owner that does not know its
// loans yet.
TEST(Cap, ResourceThatIsNotNeededHoldsNothingBack)
{
    SCOPED_TRACE("given an account with two accelerators in use of one");
    const OwnedCap cap{{4000, 1000, 1}, limitsOf({4000, 1000, 1}), 0};
    const jobs::Resources use{1000, 100, 2};
    const jobs::Resources need{1000, 100, 0};
    EXPECT_TRUE(mayStart(cap, use, need));
    EXPECT_TRUE(mayStartGang(cap, use, need, 3));
    jobs::Resources after = use;
    after += need;
    EXPECT_TRUE(maySendStart({{4000, 1000, 0}, cap.whole, 0}, after, need));
    EXPECT_FALSE(mayStart(cap, use, {1000, 100, 1}));
}

}  // namespace
}  // namespace poplarstream::accounts
