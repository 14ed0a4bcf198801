#pragma once

#include <array>  // for array
#include <cstdint>  // for int64_t
#include <limits>  // for numeric_limits
#include <map>  // for map
#include <optional>  // for optional
#include <set>  // for set
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for AccountId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/jobs/model.hpp"  // for Resources

// How the owners of a deployment with several shards lend each other the parts of an account's cap
// that they do not use; see docs/design/client-accounts.md.
namespace poplarstream::accounts {

// The resources that a cap has, to treat them alike.
inline constexpr std::array<std::int64_t jobs::Resources::*, 3> resourceFields{
        &jobs::Resources::cpuMilli, &jobs::Resources::memoryMb, &jobs::Resources::gpus};

using AccountAmounts = std::map<AccountId, jobs::Resources>;

// Between two requests of an owner to the same lender, and until it repeats one without a response;
// this doubles with each.
inline constexpr Milliseconds requestPause{200};
inline constexpr Milliseconds longestRequestPause{3200};
// A lender that had nothing left of an account is asked for it again after this long. Accounts that
// wait together are asked for in one request.
inline constexpr Milliseconds refusalPause{1000};
// A lender that has not heard from a borrower for this long sends a request itself, so that the
// borrower sees a loan that it does not know of: one granted to a late request.
inline constexpr Milliseconds settlePause{5000};
// What has not been used for this long is given back. It outlasts the gaps between short tasks.
inline constexpr Milliseconds spareHold{1000};

// Increases with each request of a shard, also from owner to owner.
struct RequestId
{
    std::int64_t epoch = 0;  // of the borrower
    std::int64_t serial = 0;

    friend auto operator<=>(const RequestId &, const RequestId &) = default;
    friend bool operator==(const RequestId &, const RequestId &) = default;
};

struct LoanRequest
{
    int borrower = 0;  // its shard
    RequestId id;
    // What the borrower still holds of the lender; an account that it has given back wholly has an
    // entry of nothing. Of other accounts it does not know whether its shard holds any: a new owner
    // does not until the lender has told it.
    AccountAmounts kept;
    AccountAmounts wanted;  // in addition
    AccountAmounts lent;  // the other way round, by the sender to the receiver
    // For accounts with work that is wider than the borrower's part: since when it waits, in Unix
    // milliseconds.
    std::map<AccountId, std::int64_t> wideSince;
};

struct LoanResponse
{
    RequestId id;  // of the request
    AccountAmounts held;  // all that the borrower holds of the lender now
    AccountAmounts recalled;  // of that, what is to be given back as runs end
};

// What one owner has lent to another of one account.
struct Loan
{
    jobs::Resources amount;
    // The most that a record in the store may say. The lender must not use it.
    jobs::Resources counted;
    RequestId request;  // that the amount follows from

    friend bool operator==(const Loan &, const Loan &) = default;
};

using LoansByShard = std::map<int, Loan>;

// All loans of one account by this owner; one record of its progress.
struct AccountLoans
{
    LoansByShard byShard;  // of the borrowers
    std::int64_t version = 0;  // increases with each change
};

// A version of an account's loans that has to be stored.
struct LoanChange
{
    AccountId account;
    std::int64_t version = 0;
};

struct HandledRequest
{
    // Empty if the request is outdated. To be sent only once all changes are stored.
    std::optional<LoanResponse> response;
    std::vector<LoanChange> changes;
};

// Work of an account that waits for a start, at one owner.
struct WaitingWork
{
    jobs::Resources total;
    jobs::Resources widest;  // that must start at once: a task or a gang
};

// One other owner, as this one borrows from it.
struct Lender
{
    AccountAmounts held;  // as in a request
    AccountAmounts recalled;
    // Whether it may have lent more than is held: at first, after a request without a response, and
    // when something is to be given back.
    bool isUnsettled = true;
    std::optional<LoanRequest> underWay;
    TimePoint nextRequestAt{};
    Milliseconds pause = requestPause;
    std::map<AccountId, TimePoint> refusedUntil;
};

// What an owner has not used of an account since a moment.
struct SpareWindow
{
    TimePoint begunAt{};
    jobs::Resources least;
};

// The state of one owner as lender and as borrower.
struct LoanBook
{
    int shard = 0;
    int shards = 1;
    std::int64_t epoch = 0;
    std::int64_t lastSerial = 0;
    AccountAmounts limits;  // of the whole deployment, as limitsOf gives them
    AccountAmounts use;  // by this owner's runs
    std::map<AccountId, WaitingWork> waiting;
    std::map<AccountId, std::int64_t> wideSince;  // as in a request
    std::map<AccountId, AccountLoans> lent;
    std::set<AccountId> unreadable;  // it is not known what is lent of them, so nothing is used
    std::map<int, RequestId> seen;  // newest request of each shard
    std::map<int, TimePoint> heardAt;  // when it was handled
    std::map<int, Lender> lenders;
    std::map<AccountId, SpareWindow> spares;
    int turn = 0;  // which lender is asked first
};

}  // namespace poplarstream::accounts
