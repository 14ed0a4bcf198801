#pragma once

#include <cstddef>  // for size_t

#include "poplarstream/accounts/loans.hpp"  // for LoanRequest, AccountAmounts
#include "poplarstream/telemetry/event.hpp"  // for EventKind

namespace poplarstream::edge {

// Logs the loans of one owner: granted, refused and given back; of each kind at most one in a
// second.
class LoanLog
{
public:
    explicit LoanLog(int shard);

    // Logs what a request has led to. `before` and `after` are the loans to its sender.
    void write(const accounts::LoanRequest &request, const accounts::AccountAmounts &before,
               const accounts::AccountAmounts &after, TimePoint now);

private:
    struct Limit
    {
        TimePoint nextAt{};
        std::size_t omitted = 0;  // since the last line
    };

    void writeOne(const EventKind &event, Limit &limit, int borrower, const AccountId &account,
                  const jobs::Resources &amount, TimePoint now) const;

    int shard_;
    Limit granted_;
    Limit refused_;
    Limit returned_;
};

}  // namespace poplarstream::edge
