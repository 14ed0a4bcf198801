#include "poplarstream/accounts/admission.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::accounts {
namespace {

const AccountId hot("hot");
const AccountId calm("calm");

AccountLoad load(double acceptedPerS, Milliseconds wait)
{
    return {acceptedPerS, 10, wait, Milliseconds{2000}};
}

int admittedOf(const Hold &hold, int jobs)
{
    int admitted = 0;
    for (int i = 0; i < jobs; ++i) {
        admitted += rejectionOf(hold, ServiceId("proofs"), "job" + std::to_string(i)) ? 0 : 1;
    }
    return admitted;
}

// Guards against an account that sends five times what it is owed: beside accounts that wait as
// long within their share, it alone is held, and to what it is owed.
TEST(Admission, HotAccountIsHeldToWhatItIsOwed)
{
    Admission admission;
    double sentPerS = 50;
    double acceptedPerS = sentPerS;
    for (int window = 0; window < 6; ++window) {
        updateAdmission(admission, {{hot, load(acceptedPerS, Milliseconds{9000})},
                                    {calm, load(9, Milliseconds{9000})}});
        EXPECT_FALSE(admission.holds.contains(calm));
        EXPECT_EQ(admission.holds.contains(hot), window > 0) << "pools may grow for one window";
        if (admission.holds.contains(hot)) {
            acceptedPerS = sentPerS * admission.holds[hot].admittedPermille / 1000;
        }
    }
    EXPECT_NEAR(acceptedPerS, 10, 1);
    EXPECT_NEAR(admittedOf(admission.holds[hot], 1000), 200, 50);
    {
        SCOPED_TRACE("when it sends less than it is owed, it is admitted at the next decision");
        updateAdmission(admission, {{hot, load(6, Milliseconds{9000})}});
        EXPECT_TRUE(admission.holds.empty());
    }
}

// Guards against rejections while there is room: sending more than is owed is no cause by itself.
TEST(Admission, IdleCapacityIsLent)
{
    Admission admission;
    for (int window = 0; window < 4; ++window) {
        updateAdmission(admission, {{hot, load(50, Milliseconds{1900})}});
        EXPECT_TRUE(admission.holds.empty());
    }
    {
        SCOPED_TRACE("given a hold, it ends when what waits can be on time with time to spare");
        admission.holds[hot] = {200, Milliseconds{5000}};
        updateAdmission(admission, {{hot, load(12, Milliseconds{1500})}});
        EXPECT_TRUE(admission.holds.contains(hot));
        updateAdmission(admission, {{hot, load(12, Milliseconds{900})}});
        EXPECT_TRUE(admission.holds.empty());
    }
}

// Guards against callers that were rejected together and come back together, and against renewals
// that grow with the number of accounts.
TEST(Admission, ReturnsAreSpreadAndHoldsBounded)
{
    const Hold hold{0, Milliseconds{4000}};
    std::map<std::int64_t, int> returns;  // by second
    for (int i = 0; i < 400; ++i) {
        ++returns[rejectionOf(hold, ServiceId("proofs"), "job" + std::to_string(i)).value()
                  / Milliseconds{1000}];
    }
    for (int second = 1; second <= 4; ++second) {
        EXPECT_GT(returns[second], 60) << second;
    }
    Admission admission;
    std::map<AccountId, AccountLoad> loads;
    for (int i = 0; i < 100; ++i) {
        loads[AccountId("account" + std::to_string(i))] = load(50, Milliseconds{3000 + i});
    }
    updateAdmission(admission, loads);
    updateAdmission(admission, loads);
    EXPECT_EQ(admission.holds.size(), 32U);
    EXPECT_TRUE(admission.holds.contains(AccountId("account99")));
    EXPECT_LT(encodeHolds(admission.holds).size(), 2000U);
}

// Guards against a hold that is read as another one, and against text of another writer.
TEST(Admission, HoldsAreReadAsWritten)
{
    const Holds holds{
            {hot, {120, Milliseconds{2500}}},
            {calm, {900, Milliseconds{1000}, {ServiceId("plates"), ServiceId("proofs")}}}};
    EXPECT_EQ(decodeHolds(encodeHolds(holds)), holds);
    EXPECT_EQ(encodeHolds({}), "");
    for (const char *const text :
         {"", "{}", "[1]", R"([["a"]])", R"([["a",-1,5]])", "[", R"([["a",1,5,[1]]])"}) {
        EXPECT_TRUE(decodeHolds(text).empty()) << text;
    }
    {
        SCOPED_TRACE("a hold of an earlier version names no service and holds all");
        const Holds earlier = decodeHolds(R"([["hot",0,5]])");
        EXPECT_TRUE(rejectionOf(earlier.at(hot), ServiceId("proofs"), "job"));
    }
}

// Guards against jobs for an idle pool that are rejected for the account's work in another one.
TEST(Admission, HoldNamesTheServicesThatAreLate)
{
    const ServiceId late("proofs");
    Admission admission;
    AccountLoad sent = load(50, Milliseconds{9000});
    sent.lateServices = {late};
    updateAdmission(admission, {{hot, sent}});
    updateAdmission(admission, {{hot, sent}});
    {
        SCOPED_TRACE("while the hold lasts, also when nothing is late any more");
        sent.wait = Milliseconds{1500};
        sent.lateServices.clear();
        updateAdmission(admission, {{hot, sent}});
        EXPECT_EQ(admission.holds[hot].services, std::set{late});
    }
    const Hold hold{0, Milliseconds{4000}, {late}};
    EXPECT_TRUE(rejectionOf(hold, late, "job"));
    EXPECT_FALSE(rejectionOf(hold, ServiceId("plates"), "job"));
}

}  // namespace
}  // namespace poplarstream::accounts
