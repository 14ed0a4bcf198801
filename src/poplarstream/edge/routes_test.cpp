#include "poplarstream/edge/routes.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::edge {
namespace {

Route route(const std::string &host, const std::string &prefix)
{
    Route route;
    route.host = host;
    route.pathPrefix = prefix;
    return route;
}

// Guards against a job that is submitted to the wrong queue.
TEST(Routes, LongestPrefixOfTheHost)
{
    const std::vector<Route> routes = {route("a.example", "/x/"), route("a.example", "/x/y/"),
                                       route("b.example", "/x/")};
    EXPECT_EQ(findRoute(routes, "a.example", "/x/y/1"), &routes[1]);
    EXPECT_EQ(findRoute(routes, "A.example:8080", "/x/1"), &routes[0]);
    EXPECT_EQ(findRoute(routes, "b.example", "/x/y/1"), &routes[2]);
    EXPECT_EQ(findRoute(routes, "c.example", "/x/1"), nullptr);
    EXPECT_EQ(findRoute(routes, "a.example", "/z/1"), nullptr);
    EXPECT_EQ(findRoute(routes, "a.example.org", "/x/1"), nullptr);
}

TEST(Routes, JobIds)
{
    EXPECT_TRUE(jobIdFrom("5c0e7a21d94b36f8"));
    EXPECT_FALSE(jobIdFrom("5c0e7a21d94b36f"));
    EXPECT_FALSE(jobIdFrom("5c0e7a21d94b36f8/"));
    EXPECT_FALSE(jobIdFrom("5c0e7a21d94b36g8"));
    EXPECT_FALSE(jobIdFrom("5c0e7a21d94b36f!"));
}

}  // namespace
}  // namespace poplarstream::edge
