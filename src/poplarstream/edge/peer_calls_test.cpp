#include "poplarstream/edge/peer_calls.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::edge {
namespace {

std::optional<PeerRequest> requestWith(const std::string &member)
{
    HttpRequest request;
    request.target = "/v1/owner";
    request.body = R"({"kind":0,"shard":1,"queue":"q","job":"00000000000000a1","records":[])"
                   + member + "}";
    return peerRequestFrom(request);
}

// Guards against a lookup whose account is lost between two entry hosts, so that other accounts see
// the job, and against a rejection of requests of an earlier version.
TEST(PeerCalls, Account)
{
    ASSERT_TRUE(requestWith(R"(,"account":"a")"));
    EXPECT_EQ(requestWith(R"(,"account":"a")")->account, AccountId("a"));
    ASSERT_TRUE(requestWith(""));
    EXPECT_TRUE(requestWith("")->account.isEmpty());
    EXPECT_FALSE(requestWith(R"(,"account":7)"));
}

}  // namespace
}  // namespace poplarstream::edge
