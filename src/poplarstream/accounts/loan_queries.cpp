#include "poplarstream/accounts/loan_queries.hpp"

#include <algorithm>  // for clamp, max, min

#include "poplarstream/accounts/amounts.hpp"  // for setAmount
#include "poplarstream/accounts/cap.hpp"  // for equalPart

namespace poplarstream::accounts {

namespace {

// A cap divided by this and the number of owners is the smallest amount to pass on. What idle
// owners keep is less than this fraction of the cap.
constexpr std::int64_t chunksPerPart = 16;

using Field = std::int64_t jobs::Resources::*;

// A limit of 0 is that of an account that is not configured.
jobs::Resources partOf(const LoanBook &book, const AccountId &account)
{
    return equalPart(amountOf(book.limits, account), book.shard, book.shards);
}

jobs::Resources lentOf(const LoanBook &book, const AccountId &account)
{
    jobs::Resources sum;
    if (const auto loans = book.lent.find(account); loans != book.lent.end()) {
        for (const auto &[shard, loan] : loans->second.byShard) {
            sum += loan.counted;
        }
    }
    return sum;
}

WaitingWork waitingOf(const LoanBook &book, const AccountId &account)
{
    const auto found = book.waiting.find(account);
    return found != book.waiting.end() ? found->second : WaitingWork{};
}

// Kept by a lender for its next starts, so that each of them does not need a loan itself. An owner
// without any work of the account keeps nothing.
std::int64_t reserveOf(const LoanBook &book, const AccountId &account, Field field)
{
    const WaitingWork waiting = waitingOf(book, account);
    const std::int64_t chunk = chunkOf(book, account).*field;
    if (amountOf(book.use, account).*field == 0 && waiting.total.*field == 0) {
        return 0;
    }
    return std::min(waiting.total.*field, 2 * chunk + waiting.widest.*field);
}

// The balance without what lenders have asked for.
jobs::Resources usableOf(const LoanBook &book, const AccountId &account)
{
    jobs::Resources recalled;
    for (const auto &[shard, lender] : book.lenders) {
        recalled += amountOf(lender.recalled, account);
    }
    jobs::Resources usable = balanceOf(book, account);
    for (const Field field : resourceFields) {
        usable.*field -= usable.*field != unlimitedAmount ? recalled.*field : 0;
    }
    return usable;
}

}  // namespace

jobs::Resources amountOf(const AccountAmounts &amounts, const AccountId &account)
{
    const auto found = amounts.find(account);
    return found != amounts.end() ? found->second : jobs::Resources{};
}

jobs::Resources chunkOf(const LoanBook &book, const AccountId &account)
{
    jobs::Resources chunk = amountOf(book.limits, account);
    for (const Field field : resourceFields) {
        chunk.*field = std::max<std::int64_t>(chunk.*field / (chunksPerPart * book.shards), 1);
    }
    return chunk;
}

jobs::Resources balanceOf(const LoanBook &book, const AccountId &account)
{
    const jobs::Resources part = partOf(book, account);
    jobs::Resources held;
    for (const auto &[shard, lender] : book.lenders) {
        held += amountOf(lender.held, account);
    }
    const jobs::Resources lent = lentOf(book, account);
    jobs::Resources balance = part;
    for (const Field field : resourceFields) {
        if (part.*field != unlimitedAmount) {
            balance.*field = part.*field - lent.*field + held.*field;
        }
    }
    return balance;
}

jobs::Resources limitOf(const LoanBook &book, const AccountId &account)
{
    jobs::Resources limit;
    if (!book.unreadable.contains(account)) {
        const jobs::Resources usable = usableOf(book, account);
        for (const Field field : resourceFields) {
            limit.*field = std::max<std::int64_t>(usable.*field, 0);
        }
    }
    return limit;
}

jobs::Resources lackOf(const LoanBook &book, const AccountId &account)
{
    const WaitingWork waiting = waitingOf(book, account);
    const jobs::Resources cap = amountOf(book.limits, account);
    const jobs::Resources balance = balanceOf(book, account);
    const jobs::Resources usable = usableOf(book, account);
    const jobs::Resources use = amountOf(book.use, account);
    const jobs::Resources chunk = chunkOf(book, account);
    jobs::Resources lack;
    for (const Field field : resourceFields) {
        if (usable.*field == unlimitedAmount) {
            continue;
        }
        const bool isNear =
                waiting.total.*field > 0
                && use.*field + std::max(waiting.widest.*field, chunk.*field) > usable.*field;
        const std::int64_t missing = std::max<std::int64_t>(
                use.*field + (isNear ? waiting.total.*field : 0) - usable.*field, 0);
        // In whole chunks, so that an owner whose work grows slowly asks rarely.
        const std::int64_t chunks = (missing + chunk.*field - 1) / chunk.*field;
        const std::int64_t most = std::max<std::int64_t>(cap.*field - usable.*field, 0);
        lack.*field = std::max(std::min(chunks * chunk.*field, most), -(balance.*field));
        lack.*field = std::max<std::int64_t>(lack.*field, 0);
    }
    return lack;
}

bool goesFirst(const LoanBook &book, const AccountId &account, const LoanRequest &request)
{
    const auto theirs = request.wideSince.find(account);
    if (theirs == request.wideSince.end()) {
        return false;
    }
    const auto own = book.wideSince.find(account);
    return own == book.wideSince.end()
           || std::pair(theirs->second, request.borrower) < std::pair(own->second, book.shard);
}

jobs::Resources loanFor(const LoanBook &book, const AccountId &account, const LoanRequest &request)
{
    if (book.unreadable.contains(account)) {
        return {};
    }
    const bool isFirst = goesFirst(book, account, request);
    const jobs::Resources wanted = amountOf(request.wanted, account);
    const jobs::Resources part = partOf(book, account);
    const jobs::Resources lent = lentOf(book, account);
    const jobs::Resources limit = limitOf(book, account);
    const jobs::Resources use = amountOf(book.use, account);
    const jobs::Resources lack = lackOf(book, account);
    const jobs::Resources chunk = chunkOf(book, account);
    jobs::Resources loan;
    for (const Field field : resourceFields) {
        if (part.*field == unlimitedAmount || wanted.*field <= 0 || (lack.*field > 0 && !isFirst)) {
            continue;
        }
        const std::int64_t reserve = isFirst ? 0 : reserveOf(book, account, field);
        // What is borrowed is not lent on: its lender may ask for it back.
        const std::int64_t spare =
                std::min(limit.*field - use.*field - reserve, part.*field - lent.*field);
        const std::int64_t amount = std::min(spare, wanted.*field);
        loan.*field = amount >= std::min(chunk.*field, wanted.*field) ? amount : 0;
    }
    return loan;
}

jobs::Resources recallOf(const LoanBook &book, const AccountId &account,
                         const jobs::Resources &loan, const LoanRequest &request)
{
    const jobs::Resources part = partOf(book, account);
    const jobs::Resources lent = lentOf(book, account);
    const bool isFirst = goesFirst(book, account, request);
    const jobs::Resources lack = isFirst ? jobs::Resources{} : lackOf(book, account);
    jobs::Resources recalled;
    for (const Field field : resourceFields) {
        if (part.*field != unlimitedAmount) {
            recalled.*field = std::clamp<std::int64_t>(
                    std::max(lent.*field - part.*field, lack.*field), 0, loan.*field);
        }
    }
    return recalled;
}

AccountAmounts lentTo(const LoanBook &book, int shard)
{
    AccountAmounts lent;
    for (const auto &[account, loans] : book.lent) {
        if (const auto loan = loans.byShard.find(shard); loan != loans.byShard.end()) {
            setAmount(lent, account, loan->second.amount);
        }
    }
    return lent;
}

jobs::Resources totalLent(const LoanBook &book)
{
    jobs::Resources sum;
    for (const auto &[account, loans] : book.lent) {
        sum += lentOf(book, account);
    }
    return sum;
}

jobs::Resources totalHeld(const LoanBook &book)
{
    jobs::Resources sum;
    for (const auto &[shard, lender] : book.lenders) {
        for (const auto &[account, amount] : lender.held) {
            sum += amount;
        }
    }
    return sum;
}

}  // namespace poplarstream::accounts
