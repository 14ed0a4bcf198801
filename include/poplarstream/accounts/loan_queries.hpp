#pragma once

#include "poplarstream/accounts/loans.hpp"  // for LoanBook

namespace poplarstream::accounts {

inline constexpr std::int64_t unlimitedAmount = std::numeric_limits<std::int64_t>::max();

// The amounts of an account, or none.
jobs::Resources amountOf(const AccountAmounts &amounts, const AccountId &account);

// The smallest amounts that are passed on: a fixed fraction of the cap.
jobs::Resources chunkOf(const LoanBook &book, const AccountId &account);

// The owner's part of an account's cap, without what it has or may have lent, with what it holds.
// Negative if the cap has become smaller than the loans.
jobs::Resources balanceOf(const LoanBook &book, const AccountId &account);

// What the owner may have running of an account: its balance without what it is asked to give back,
// and never less than nothing.
jobs::Resources limitOf(const LoanBook &book, const AccountId &account);

// What this owner lacks of an account: for its waiting work, if its use is so near the limit that a
// task or gang that waits does not fit, for what it uses beyond its limit, and to have no negative
// balance. The latter two arise from wide tasks and from a cap that has become smaller.
jobs::Resources lackOf(const LoanBook &book, const AccountId &account);

// Whether the borrower's work goes before this owner's: it is wider than the borrower's part and
// has waited longer than any such work here. Two owners that wait for each other's parts must agree
// on who is first, so both compare the same two numbers, whatever their clocks show.
bool goesFirst(const LoanBook &book, const AccountId &account, const LoanRequest &request);

// What the borrower may get of an account in addition to what it holds.
jobs::Resources loanFor(const LoanBook &book, const AccountId &account, const LoanRequest &request);

// What a borrower of `loan` is asked to give back of an account: loans in excess of a part that has
// become smaller, and what this owner lacks itself, unless the borrower goes first.
jobs::Resources recallOf(const LoanBook &book, const AccountId &account,
                         const jobs::Resources &loan, const LoanRequest &request);

// What is lent to the owner of a shard.
AccountAmounts lentTo(const LoanBook &book, int shard);

// Sums over all accounts and owners, for the metrics.
jobs::Resources totalLent(const LoanBook &book);
jobs::Resources totalHeld(const LoanBook &book);

}  // namespace poplarstream::accounts
