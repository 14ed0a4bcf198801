#include "poplarstream/traffic/connection_cycle.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::traffic {
namespace {

using S = ConnectionState;
using E = ConnectionEvent;

// Guards against a wrong entry in the transition table, which could reuse a connection with a
// pending response.
TEST(ConnectionCycle, Table)
{
    EXPECT_EQ(next(S::Connecting, E::Connected), S::Idle);
    EXPECT_EQ(next(S::Connecting, E::Failed), S::Closed);
    EXPECT_EQ(next(S::Idle, E::RequestSent), S::Busy);
    EXPECT_EQ(next(S::Idle, E::ProbeSent), S::Probing);
    EXPECT_EQ(next(S::Busy, E::Answered), S::Idle);
    EXPECT_EQ(next(S::Busy, E::Overdue), S::Probing);
    EXPECT_EQ(next(S::Probing, E::Answered), S::Idle);
    EXPECT_EQ(next(S::Probing, E::Failed), S::Closed);
    EXPECT_EQ(next(S::Busy, E::RequestSent), std::nullopt);
    EXPECT_EQ(next(S::Probing, E::RequestSent), std::nullopt);
    EXPECT_EQ(next(S::Connecting, E::RequestSent), std::nullopt);
    for (const E event :
         {E::Connected, E::RequestSent, E::Answered, E::ProbeSent, E::Overdue, E::Failed}) {
        EXPECT_EQ(next(S::Closed, event), std::nullopt);
    }
}

}  // namespace
}  // namespace poplarstream::traffic
