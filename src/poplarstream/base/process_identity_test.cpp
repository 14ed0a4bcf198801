#include <algorithm>  // for all_of
#include <set>  // for set

#include <gtest/gtest.h>

#include "poplarstream/base/process_identity.hpp"  // for drawProcessIdentity

namespace poplarstream {
namespace {

// Guards against identities that processes which start in the same millisecond share. The draws
// take a few milliseconds, so a value taken from the clock would repeat.
TEST(ProcessIdentity, DrawsOfOneMillisecondDiffer)
{
    constexpr std::size_t draws = 2'000;
    std::set<std::string> identities;
    std::set<std::uint64_t> numbers;
    for (std::size_t i = 0; i < draws; ++i) {
        identities.insert(drawProcessIdentity());
        numbers.insert(drawProcessNumber());
    }
    EXPECT_EQ(identities.size(), draws);
    EXPECT_EQ(numbers.size(), draws);
    EXPECT_FALSE(numbers.contains(0));
}

// Guards against characters that a URL, a header or a file name would change.
TEST(ProcessIdentity, TextIsHexadecimalOfOneLength)
{
    for (int i = 0; i < 100; ++i) {
        const std::string identity = drawProcessIdentity();
        EXPECT_EQ(identity.size(), 32U);
        EXPECT_TRUE(std::ranges::all_of(identity, [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
        })) << identity;
    }
}

}  // namespace
}  // namespace poplarstream
