#include "poplarstream/accounts/key_ring.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::accounts {
namespace {

// Guards against a key that opens another account, and against a part of a key that opens one.
TEST(KeyRing, FindsTheAccountOfAKey)
{
    const Result<KeyRing> ring = KeyRing::create(std::vector<AccountKeys>{
            {AccountId("a"), {"key-a1", "key-a2"}}, {AccountId("b"), {"key-b1"}}});
    ASSERT_TRUE(ring) << ring.failure().message;
    for (const auto &[key, account] :
         {std::pair("key-a1", "a"), std::pair("key-a2", "a"), std::pair("key-b1", "b")}) {
        ASSERT_NE(ring.value().find(key), nullptr) << key;
        EXPECT_EQ(*ring.value().find(key), AccountId(account));
    }
    for (const char *text : {"", "key-a", "key-a1 ", "key-a11", "KEY-A1", "a"}) {
        EXPECT_EQ(ring.value().find(text), nullptr) << text;
    }
}

// Guards against a configuration whose keys are ambiguous or cannot be sent in a header, and
// against a message about it that gives a key away.
TEST(KeyRing, FaultsNameTheAccountOnly)
{
    const auto faultOf = [](const std::vector<AccountKeys> &accounts) {
        const auto ring = KeyRing::create(accounts);
        return ring ? "" : ring.failure().message;
    };
    EXPECT_EQ(faultOf({{AccountId("a"), {std::string(maxKeyBytes, 'k')}}}), "");
    for (const std::string &key :
         {std::string(), std::string(maxKeyBytes + 1, 'k'), std::string("sec ret"),
          std::string("secr\xc3\xa9t"), std::string("secret\n"), std::string("sec\0ret", 7)}) {
        EXPECT_EQ(faultOf({{AccountId("a"), {"ok", key}}}),
                  "account a: a key is not 1 to 256 printable ASCII characters");
    }
    EXPECT_EQ(faultOf({{AccountId("a"), {"s-1", "s-1"}}}), "account a: a key appears twice");
    EXPECT_EQ(faultOf({{AccountId("a"), {"s-1"}}, {AccountId("b"), {"s-1"}}}),
              "account b: a key is also a key of account a");
}

}  // namespace
}  // namespace poplarstream::accounts
