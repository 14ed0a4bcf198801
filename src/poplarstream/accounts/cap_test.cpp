#include "poplarstream/accounts/cap.hpp"

#include <limits>  // for numeric_limits

#include <gtest/gtest.h>  // for TEST

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

}  // namespace
}  // namespace poplarstream::accounts
