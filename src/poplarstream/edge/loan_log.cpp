#include "poplarstream/edge/loan_log.hpp"

#include <set>  // for set
#include <utility>  // for exchange

#include <fmt/format.h>  // for to_string

#include "poplarstream/accounts/loan_queries.hpp"  // for amountOf
#include "poplarstream/telemetry/event_kinds.hpp"  // for capLent, capNotLent, capReturned

namespace poplarstream::edge {

namespace {

constexpr Milliseconds logPeriod{1000};

}  // namespace

LoanLog::LoanLog(int shard)
    : shard_(shard)
{}

void LoanLog::write(const accounts::LoanRequest &request, const accounts::AccountAmounts &before,
                    const accounts::AccountAmounts &after, TimePoint now)
{
    std::set<AccountId> accounts;
    for (const auto *const amounts : {&before, &after, &request.wanted}) {
        for (const auto &[account, amount] : *amounts) {
            accounts.insert(account);
        }
    }
    for (const AccountId &account : accounts) {
        const jobs::Resources earlier = accounts::amountOf(before, account);
        const jobs::Resources later = accounts::amountOf(after, account);
        if (!later.fits(earlier)) {
            writeOne(events::capLent, granted_, request.borrower, account, later, now);
        } else if (later != earlier) {
            writeOne(events::capReturned, returned_, request.borrower, account, later, now);
        } else if (request.wanted.contains(account)) {
            writeOne(events::capNotLent, refused_, request.borrower, account,
                     request.wanted.at(account), now);
        }
    }
}

void LoanLog::writeOne(const EventKind &event, Limit &limit, int borrower, const AccountId &account,
                       const jobs::Resources &amount, TimePoint now) const
{
    if (now < limit.nextAt) {
        ++limit.omitted;
        return;
    }
    limit.nextAt = now + logPeriod;
    logEvent(event, {{"shard", fmt::to_string(shard_)},
                     {"borrower", fmt::to_string(borrower)},
                     {"account", account.text()},
                     {"cpu_milli", fmt::to_string(amount.cpuMilli)},
                     {"memory_mb", fmt::to_string(amount.memoryMb)},
                     {"gpus", fmt::to_string(amount.gpus)},
                     {"omitted", fmt::to_string(std::exchange(limit.omitted, 0))}});
}

}  // namespace poplarstream::edge
