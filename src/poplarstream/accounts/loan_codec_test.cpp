#include "poplarstream/accounts/loan_codec.hpp"

#include <gtest/gtest.h>  // for TEST
#include <rapidcheck.h>  // for check

#include "poplarstream/base/malformed_json.hpp"  // for malformed

namespace poplarstream::accounts {
namespace {

// Guards against a loan that is forgotten or changed between two owners, or by a takeover.
TEST(LoanCodec, RoundTrip)
{
    const AccountId account("a/b \"c\"");
    EXPECT_TRUE(rc::check([&](std::uint32_t cpu, std::uint16_t serial, std::uint8_t borrower) {
        const jobs::Resources amount{cpu, 1, 0};
        LoanRequest request;
        request.borrower = borrower % 4;
        request.id = {7, serial};
        request.kept[account] = {};
        request.wanted[account] = amount;
        request.lent[account] = amount;
        request.wideSince[account] = 1'700'000'000'000;
        const auto sent = decodeRequest(encodeRequest(request));
        RC_ASSERT(sent.has_value());
        RC_ASSERT(sent->borrower == request.borrower && sent->id == request.id);
        RC_ASSERT(sent->kept == request.kept && sent->wanted == request.wanted);
        RC_ASSERT(sent->lent == request.lent && sent->wideSince == request.wideSince);
        const LoanResponse response{request.id, {{account, amount}}, {{account, {cpu, 0, 0}}}};
        const auto answered = decodeResponse(encodeResponse(response));
        RC_ASSERT(answered.has_value());
        RC_ASSERT(answered->id == response.id && answered->held == response.held);
        RC_ASSERT(answered->recalled == response.recalled);
        const LoansByShard loans{{request.borrower, {amount, amount, request.id}}};
        RC_ASSERT(decodeLoans(encodeLoans(loans).value()) == loans);
    }));
    EXPECT_FALSE(encodeLoans({{1, {}}}));
}

// Guards against a process that ends, or takes over an impossible loan, for a message or record
// that it cannot read.
TEST(LoanCodec, MalformedText)
{
    EXPECT_TRUE(rc::check([] {
        const auto loans = decodeLoans(test::malformed(R"({"loans":[[1,[2,3,4],[5,6]]]})"));
        for (const auto &[shard, loan] : loans.value_or(LoansByShard())) {
            RC_ASSERT(loan.amount.cpuMilli >= 0 && shard >= 0);
        }
        decodeRequest(test::malformed(encodeRequest({})));
        decodeResponse(test::malformed(encodeResponse({})));
    }));
    EXPECT_FALSE(decodeLoans(R"({"loans":[[1,[-2,3,4],[5,6]]]})"));
    EXPECT_FALSE(decodeLoans("null"));
}

}  // namespace
}  // namespace poplarstream::accounts
