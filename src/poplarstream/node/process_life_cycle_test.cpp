#include "poplarstream/node/process_life_cycle.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream {
namespace {

// Guards against a leaving process that becomes ready again and gets new work.
TEST(ProcessLifeCycle, LeavingIsFinal)
{
    using enum ProcessState;
    EXPECT_EQ(next(Starting, ProcessEvent::Published), Ready);
    EXPECT_EQ(next(Starting, ProcessEvent::Leave), Leaving);
    EXPECT_EQ(next(Ready, ProcessEvent::Leave), Leaving);
    EXPECT_EQ(next(Leaving, ProcessEvent::Published), std::nullopt);
    EXPECT_EQ(next(Leaving, ProcessEvent::Left), Stopped);
    EXPECT_EQ(next(Ready, ProcessEvent::Left), std::nullopt);
    EXPECT_EQ(next(Stopped, ProcessEvent::Published), std::nullopt);
}

}  // namespace
}  // namespace poplarstream
