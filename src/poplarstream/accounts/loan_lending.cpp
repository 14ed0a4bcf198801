#include "poplarstream/accounts/loan_lending.hpp"

#include <algorithm>  // for max
#include <set>  // for set

#include "poplarstream/accounts/amounts.hpp"  // for leastOf, mostOf, setAmount
#include "poplarstream/accounts/loan_queries.hpp"  // for goesFirst, loanFor, recallOf

namespace poplarstream::accounts {

namespace {

std::set<AccountId> accountsOf(const LoanBook &book, const LoanRequest &request)
{
    std::set<AccountId> accounts;
    for (const auto &[account, loans] : book.lent) {
        if (loans.byShard.contains(request.borrower)) {
            accounts.insert(account);
        }
    }
    for (const auto &[account, wanted] : request.wanted) {
        if (book.limits.contains(account)) {
            accounts.insert(account);
        }
    }
    return accounts;
}

// Brings a loan up to date with a request. Returns whether it has to be stored: if it has changed,
// or if the response lets the borrower use more than it keeps. The latter also shows that this
// owner was not superseded, and protects the loan from older requests that arrive later.
bool settleLoan(LoanBook &book, const AccountId &account, const LoanRequest &request)
{
    const auto known = book.lent.find(account);
    Loan before;
    if (known != book.lent.end()) {
        const auto loan = known->second.byShard.find(request.borrower);
        before = loan != known->second.byShard.end() ? loan->second : Loan{};
    }
    const auto kept = request.kept.find(account);
    jobs::Resources amount =
            kept != request.kept.end() ? leastOf(before.amount, kept->second) : before.amount;
    amount += loanFor(book, account, request);
    const bool raises = !amount.fits(amountOf(request.kept, account));
    if (amount == before.amount && !raises) {
        return false;
    }
    AccountLoans &loans = book.lent[account];
    loans.byShard[request.borrower] = {amount, mostOf(before.counted, amount), request.id};
    ++loans.version;
    return true;
}

}  // namespace

void adoptLoans(LoanBook &book, const AccountId &account, LoansByShard loans)
{
    for (const auto &[shard, loan] : loans) {
        RequestId &seen = book.seen[shard];
        seen = std::max(seen, loan.request);
    }
    book.lent[account].byShard = std::move(loans);
}

HandledRequest handleRequest(LoanBook &book, const LoanRequest &request, TimePoint now)
{
    const auto borrower = book.lenders.find(request.borrower);
    RequestId &seen = book.seen[request.borrower];
    if (borrower == book.lenders.end() || request.id <= seen) {
        return {};
    }
    seen = request.id;
    book.heardAt[request.borrower] = now;
    // Less than what was lent is held after a lost response. A request of this owner settles it.
    for (const auto &[account, amount] : request.lent) {
        if (amountOf(borrower->second.held, account) != amount) {
            borrower->second.isUnsettled = true;
        }
    }
    HandledRequest handled;
    LoanResponse response;
    response.id = request.id;
    for (const AccountId &account : accountsOf(book, request)) {
        if (settleLoan(book, account, request)) {
            handled.changes.push_back({account, book.lent.at(account).version});
        }
        const auto loans = book.lent.find(account);
        if (loans == book.lent.end() || !loans->second.byShard.contains(request.borrower)) {
            continue;
        }
        const jobs::Resources amount = loans->second.byShard.at(request.borrower).amount;
        setAmount(response.held, account, amount);
        setAmount(response.recalled, account, recallOf(book, account, amount, request));
    }
    // Whatever is held of these counts as lent. Without them the borrower would drop the response.
    for (const AccountId &account : book.unreadable) {
        setAmount(response.held, account, amountOf(request.kept, account));
    }
    // An owner that lacks its own part gets it back, unless this one waits for it with wider work.
    for (const auto &[account, wanted] : request.wanted) {
        const auto own = book.wideSince.find(account);
        if (own == book.wideSince.end() || goesFirst(book, account, request)) {
            Lender &lender = borrower->second;
            const jobs::Resources held = amountOf(lender.held, account);
            setAmount(lender.recalled, account,
                      leastOf(held, mostOf(amountOf(lender.recalled, account), wanted)));
        }
    }
    handled.response = std::move(response);
    return handled;
}

void markStored(LoanBook &book, const LoanChange &change)
{
    const auto found = book.lent.find(change.account);
    if (found == book.lent.end() || found->second.version != change.version) {
        return;
    }
    for (auto &[shard, loan] : found->second.byShard) {
        loan.counted = loan.amount;
    }
    std::erase_if(found->second.byShard,
                  [](const auto &entry) { return isNone(entry.second.amount); });
}

}  // namespace poplarstream::accounts
