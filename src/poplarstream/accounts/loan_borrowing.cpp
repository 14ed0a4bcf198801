#include "poplarstream/accounts/loan_borrowing.hpp"

#include <algorithm>  // for any_of, max, min
#include <set>  // for set

#include "poplarstream/accounts/amounts.hpp"  // for leastOf, setAmount
#include "poplarstream/accounts/cap.hpp"  // for equalPart
#include "poplarstream/accounts/loan_queries.hpp"  // for lackOf, limitOf

namespace poplarstream::accounts {

namespace {

using Field = std::int64_t jobs::Resources::*;

// Accounts with amounts of which this owner holds some.
std::set<AccountId> heldAccounts(const LoanBook &book)
{
    std::set<AccountId> accounts;
    for (const auto &[shard, lender] : book.lenders) {
        for (const auto &[account, amount] : lender.held) {
            accounts.insert(account);
        }
    }
    return accounts;
}

// The amounts by which the use stays below the limit. `waiting` is kept free beside it.
jobs::Resources spareOf(const jobs::Resources &limit, const jobs::Resources &use,
                        const jobs::Resources &waiting)
{
    jobs::Resources spare = limit;
    for (const Field field : resourceFields) {
        spare.*field = std::max<std::int64_t>(limit.*field - use.*field - waiting.*field, 0);
    }
    return spare;
}

// Gives back to one lender up to `amount` of what is held; returns how much it was.
jobs::Resources giveBackTo(Lender &lender, const AccountId &account, const jobs::Resources &amount)
{
    const jobs::Resources held = amountOf(lender.held, account);
    const jobs::Resources given = leastOf(held, amount);
    if (isNone(given)) {
        return {};
    }
    jobs::Resources left = held;
    left -= given;
    lender.held[account] = left;
    jobs::Resources recalled = amountOf(lender.recalled, account);
    recalled -= leastOf(recalled, given);
    setAmount(lender.recalled, account, leastOf(recalled, left));
    lender.isUnsettled = true;
    return given;
}

// What has not been used since the window began, if that is long enough ago.
jobs::Resources unusedFor(SpareWindow &window, const jobs::Resources &spare, TimePoint now)
{
    window.least = leastOf(window.least, spare);
    if (now < window.begunAt + spareHold) {
        return {};
    }
    const jobs::Resources least = window.least;
    window = {now, spare};
    return least;
}

// What is to be given back of an account, beside what lenders have asked for.
jobs::Resources unneeded(LoanBook &book, const AccountId &account, TimePoint now)
{
    const jobs::Resources limit = limitOf(book, account);
    const auto waiting = book.waiting.find(account);
    const jobs::Resources spare =
            spareOf(limit, amountOf(book.use, account),
                    waiting != book.waiting.end() ? waiting->second.total : jobs::Resources{});
    const auto [window, isNew] = book.spares.try_emplace(account, SpareWindow{now, spare});
    return isNew ? jobs::Resources{} : unusedFor(window->second, spare, now);
}

// Whether the account has work that needs more than this owner's part and than it may use now. If
// the whole cap is not enough, nothing is gained by keeping it from the others.
bool isWide(const LoanBook &book, const AccountId &account, const WaitingWork &waiting)
{
    const jobs::Resources cap = amountOf(book.limits, account);
    const jobs::Resources limit = limitOf(book, account);
    jobs::Resources wanted = amountOf(book.use, account);
    wanted += waiting.widest;
    return !waiting.widest.fits(equalPart(cap, book.shard, book.shards))
           && std::any_of(resourceFields.begin(), resourceFields.end(), [&](const Field field) {
                  return wanted.*field > limit.*field && limit.*field < cap.*field;
              });
}

// Whether the other owner may not know what it holds.
bool mustRemind(const LoanBook &book, int shard, TimePoint now)
{
    const auto heard = book.heardAt.find(shard);
    return now >= book.lenders.at(shard).nextRequestAt + settlePause
           && (heard == book.heardAt.end() || now >= heard->second + settlePause)
           && !lentTo(book, shard).empty();
}

// The next request to a lender; without a want if nothing is lacking. `lack` is what no request
// under way asks for; the part that this one asks for is taken off it.
LoanRequest makeRequest(LoanBook &book, int shard, AccountAmounts &lack, TimePoint now)
{
    const Lender &lender = book.lenders.at(shard);
    LoanRequest request;
    request.borrower = book.shard;
    request.id = {book.epoch, ++book.lastSerial};
    request.kept = lender.held;
    request.lent = lentTo(book, shard);
    for (auto entry = lack.begin(); entry != lack.end();) {
        const auto refused = lender.refusedUntil.find(entry->first);
        if (refused != lender.refusedUntil.end() && now < refused->second) {
            ++entry;
            continue;
        }
        request.wanted.insert(*entry);
        if (const auto since = book.wideSince.find(entry->first); since != book.wideSince.end()) {
            request.wideSince.insert(*since);
        }
        entry = lack.erase(entry);
    }
    return request;
}

// What this owner lacks and has not asked for yet.
AccountAmounts openLack(const LoanBook &book)
{
    AccountAmounts lack;
    std::set<AccountId> accounts;
    for (const auto &[account, waiting] : book.waiting) {
        accounts.insert(account);
    }
    for (const auto &[account, loans] : book.lent) {
        accounts.insert(account);
    }
    for (const AccountId &account : accounts) {
        jobs::Resources open = lackOf(book, account);
        for (const auto &[shard, lender] : book.lenders) {
            if (lender.underWay) {
                const jobs::Resources asked = amountOf(lender.underWay->wanted, account);
                open -= leastOf(open, asked);
            }
        }
        setAmount(lack, account, open);
    }
    return lack;
}

bool canAskFor(const Lender &lender, const AccountAmounts &lack, TimePoint now)
{
    return std::any_of(lack.begin(), lack.end(), [&](const auto &entry) {
        const auto refused = lender.refusedUntil.find(entry.first);
        return refused == lender.refusedUntil.end() || now >= refused->second;
    });
}

// The end of the present period of `pause`; the same for all accounts that are refused meanwhile.
TimePoint endOfPause(TimePoint now, Milliseconds pause)
{
    return TimePoint(((now.time_since_epoch() / pause) + 1) * pause);
}

}  // namespace

LoanBook makeLoanBook(int shard, int shards, std::int64_t epoch)
{
    LoanBook book;
    book.shard = shard;
    book.shards = shards;
    book.epoch = epoch;
    for (int other = 0; other < shards; ++other) {
        if (other != shard) {
            book.lenders[other];
        }
    }
    return book;
}

void noteWaiting(LoanBook &book, std::map<AccountId, WaitingWork> waiting, std::int64_t unixNowMs)
{
    std::map<AccountId, std::int64_t> wideSince;
    for (const auto &[account, work] : waiting) {
        if (isWide(book, account, work)) {
            const auto known = book.wideSince.find(account);
            wideSince[account] = known != book.wideSince.end() ? known->second : unixNowMs;
        }
    }
    book.waiting = std::move(waiting);
    book.wideSince = std::move(wideSince);
}

void giveBack(LoanBook &book, TimePoint now)
{
    const std::set<AccountId> accounts = heldAccounts(book);
    std::erase_if(book.spares, [&](const auto &entry) { return !accounts.contains(entry.first); });
    for (const AccountId &account : accounts) {
        const jobs::Resources use = amountOf(book.use, account);
        jobs::Resources left = unneeded(book, account, now);
        for (auto &[shard, lender] : book.lenders) {
            // The response to a request under way says again what is held.
            if (lender.underWay) {
                continue;
            }
            const jobs::Resources unused = spareOf(balanceOf(book, account), use, {});
            giveBackTo(lender, account, leastOf(amountOf(lender.recalled, account), unused));
            const jobs::Resources spare = spareOf(limitOf(book, account), use, {});
            left -= giveBackTo(lender, account, leastOf(left, spare));
        }
    }
}

std::vector<std::pair<int, LoanRequest>> beginRequests(LoanBook &book, TimePoint now)
{
    std::vector<std::pair<int, LoanRequest>> requests;
    AccountAmounts lack = openLack(book);
    const int first = book.turn;
    for (int step = 0; step < book.shards; ++step) {
        const int shard = (first + step) % book.shards;
        const auto found = book.lenders.find(shard);
        if (found == book.lenders.end()) {
            continue;
        }
        Lender &lender = found->second;
        if (lender.underWay || now < lender.nextRequestAt
            || (!lender.isUnsettled && !canAskFor(lender, lack, now)
                && !mustRemind(book, shard, now))) {
            continue;
        }
        lender.underWay = makeRequest(book, shard, lack, now);
        lender.nextRequestAt = now + lender.pause;
        if (!lender.underWay->wanted.empty()) {
            book.turn = (shard + 1) % book.shards;
        }
        requests.emplace_back(shard, *lender.underWay);
    }
    return requests;
}

bool handleResponse(LoanBook &book, int shard, const LoanResponse &response, TimePoint now)
{
    const auto found = book.lenders.find(shard);
    if (found == book.lenders.end() || !found->second.underWay
        || found->second.underWay->id != response.id) {
        return false;
    }
    Lender &lender = found->second;
    const bool isOutdated =
            std::any_of(lender.held.begin(), lender.held.end(), [&](const auto &entry) {
                return !entry.second.fits(amountOf(response.held, entry.first));
            });
    if (isOutdated) {
        // The owner of the lender's shard has counted as lent whatever is held. This one was
        // superseded before it was.
        abandonRequest(book, shard, response.id, now);
        return false;
    }
    const LoanRequest request = std::move(*lender.underWay);
    lender.underWay.reset();
    for (const auto &[account, wanted] : request.wanted) {
        const jobs::Resources kept = amountOf(request.kept, account);
        if (amountOf(response.held, account).fits(kept)) {
            lender.refusedUntil[account] = endOfPause(now, refusalPause);
        } else {
            lender.refusedUntil.erase(account);
        }
    }
    lender.held = response.held;
    lender.recalled = response.recalled;
    lender.isUnsettled = false;
    lender.pause = requestPause;
    return true;
}

void abandonRequest(LoanBook &book, int shard, const RequestId &id, TimePoint now)
{
    const auto found = book.lenders.find(shard);
    if (found == book.lenders.end() || !found->second.underWay
        || found->second.underWay->id != id) {
        return;
    }
    Lender &lender = found->second;
    lender.underWay.reset();
    lender.isUnsettled = true;
    lender.pause = std::min(lender.pause * 2, longestRequestPause);
    lender.nextRequestAt = now + lender.pause;
}

}  // namespace poplarstream::accounts
