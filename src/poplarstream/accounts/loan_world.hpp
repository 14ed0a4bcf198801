#pragma once

#include <algorithm>  // for clamp, max, min
#include <deque>  // for deque
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/accounts/amounts.hpp"  // for leastOf, isNone
#include "poplarstream/accounts/cap.hpp"  // for equalPart, limitsOf
#include "poplarstream/accounts/loan_borrowing.hpp"  // for makeLoanBook, beginRequests
#include "poplarstream/accounts/loan_codec.hpp"  // for encodeLoans, encodeRequest
#include "poplarstream/accounts/loan_lending.hpp"  // for handleRequest
#include "poplarstream/accounts/loan_queries.hpp"  // for limitOf
#include "poplarstream/base/random.hpp"  // for Random

namespace poplarstream::accounts::test {

inline const AccountId account("a");

// A write of the account's loans to a shard's progress.
struct LoanWrite
{
    LoanChange change;
    std::string loans;
};

struct UnsentResponse
{
    std::size_t afterWrites = 0;  // of loans by its owner
    int borrower = 0;
    LoanResponse response;
};

// One owner of a shard, present or superseded.
struct Owner
{
    LoanBook book;
    // Not stored yet. Starts may be stored before loans that were decided earlier.
    std::deque<jobs::Resources> starts;
    std::deque<LoanWrite> writes;
    std::size_t written = 0;  // of loans
    std::vector<UnsentResponse> unsent;

    bool hasWrites() const { return !starts.empty() || !writes.empty(); }
};

struct Shard
{
    std::vector<Owner> owners;  // the last one is present
    jobs::Resources runs;  // of stored starts, on the workers
    std::string loans;  // as stored

    Owner &present() { return owners.back(); }
};

struct Message
{
    int to = 0;
    int from = 0;
    std::int64_t epoch = 0;  // of the borrower
    bool isRequest = true;
    std::string text;
};

// A few owners that share the cap of one account, over a network that loses, repeats and delays.
struct World
{
    Random random;
    std::vector<Shard> shards;
    std::vector<Message> messages;
    jobs::Resources cap;  // as limitsOf gives it
    jobs::Resources bound;  // the largest cap until nothing rests on it any more
    TimePoint now = timePoint(1'000'000);

    explicit World(std::uint64_t seed)
        : World(seed, 2 + static_cast<int>(seed % 3), {})
    {}

    World(std::uint64_t seed, int shardCount, std::optional<jobs::Resources> fixedCap)
        : random(seed)
    {
        cap = fixedCap ? *fixedCap : randomCap();
        bound = cap;
        shards.resize(static_cast<std::size_t>(shardCount));
        for (std::size_t shard = 0; shard < shards.size(); ++shard) {
            takeOver(static_cast<int>(shard));
        }
    }

    int below(std::size_t bound_) { return static_cast<int>(random.below(bound_)); }

    jobs::Resources randomCap()
    {
        return limitsOf({1 + below(200), 1 + below(50), random.below(3) == 0 ? 0 : 1 + below(4)});
    }

    jobs::Resources randomAmount(const jobs::Resources &most)
    {
        jobs::Resources amount;
        for (const auto field : resourceFields) {
            amount.*field =
                    most.*field > 0 ? below(std::min<std::size_t>(most.*field, 300) + 1) : 0;
        }
        return amount;
    }

    // A new owner reads what was stored. Of the writes under way, some arrive before it.
    void takeOver(int index)
    {
        Shard &shard = shards[static_cast<std::size_t>(index)];
        if (!shard.owners.empty()) {
            const Owner &previous = shard.present();
            for (int i = 0, arrived = below(previous.starts.size() + 1); i < arrived; ++i) {
                shard.runs += previous.starts[static_cast<std::size_t>(i)];
            }
            if (const int arrived = below(previous.writes.size() + 1); arrived > 0) {
                shard.loans = previous.writes[static_cast<std::size_t>(arrived - 1)].loans;
            }
        }
        Owner next;
        next.book = makeLoanBook(index, static_cast<int>(shards.size()),
                                 static_cast<std::int64_t>(shard.owners.size()) + 1);
        next.book.limits[account] = cap;
        next.book.use[account] = shard.runs;
        if (const auto loans = decodeLoans(shard.loans)) {
            adoptLoans(next.book, account, *loans);
        }
        shard.owners.push_back(std::move(next));
    }

    void storeNext(int index)
    {
        Shard &shard = shards[static_cast<std::size_t>(index)];
        Owner &owner = shard.present();
        if (!owner.starts.empty() && (owner.writes.empty() || below(2) == 0)) {
            shard.runs += owner.starts.front();
            owner.starts.pop_front();
        } else if (!owner.writes.empty()) {
            shard.loans = owner.writes.front().loans;
            markStored(owner.book, owner.writes.front().change);
            owner.writes.pop_front();
            ++owner.written;
            sendResponses(owner);
        }
    }

    void sendResponses(Owner &owner)
    {
        std::erase_if(owner.unsent, [&](const UnsentResponse &unsent) {
            if (unsent.afterWrites > owner.written) {
                return false;
            }
            messages.push_back({unsent.borrower, owner.book.shard, unsent.response.id.epoch, false,
                                encodeResponse(unsent.response)});
            return true;
        });
    }

    void tick(Owner &owner, const WaitingWork &work)
    {
        noteWaiting(owner.book, {{account, work}}, millisecondsSinceEpoch(now));
        giveBack(owner.book, now);
        for (const auto &[lender, request] : beginRequests(owner.book, now)) {
            messages.push_back(
                    {lender, owner.book.shard, owner.book.epoch, true, encodeRequest(request)});
        }
    }

    // Starts what the owner believes that it may.
    void start(Owner &owner) { startUpTo(owner, randomAmount({300, 300, 300})); }

    static void startUpTo(Owner &owner, const jobs::Resources &most)
    {
        jobs::Resources amount = limitOf(owner.book, account);
        for (const auto field : resourceFields) {
            const std::int64_t free = amount.*field - owner.book.use[account].*field;
            amount.*field = std::clamp<std::int64_t>(free, 0, most.*field);
        }
        owner.book.use[account] += amount;
        owner.starts.push_back(amount);
    }

    void endRuns(int index, const jobs::Resources &amount)
    {
        Shard &shard = shards[static_cast<std::size_t>(index)];
        const jobs::Resources ended = leastOf(amount, shard.runs);
        shard.runs -= ended;
        for (Owner &owner : shard.owners) {
            jobs::Resources &use = owner.book.use[account];
            use -= leastOf(use, ended);
        }
    }

    // A request reaches any owner that the shard has had; a response the one that asked.
    void deliver(const Message &message)
    {
        Shard &shard = shards[static_cast<std::size_t>(message.to)];
        if (!message.isRequest) {
            for (Owner &owner : shard.owners) {
                if (owner.book.epoch == message.epoch) {
                    handleResponse(owner.book, message.from, *decodeResponse(message.text), now);
                }
            }
            return;
        }
        const bool isToPresent = random.below(8) != 0;
        Owner &owner =
                isToPresent ? shard.present() : shard.owners[random.below(shard.owners.size())];
        HandledRequest handled = handleRequest(owner.book, *decodeRequest(message.text), now);
        for (const LoanChange &change : handled.changes) {
            const auto &loans = owner.book.lent.at(change.account).byShard;
            owner.writes.push_back({change, encodeLoans(loans).value_or("")});
        }
        if (handled.response) {
            // Without changes it waits for nothing.
            const std::size_t after =
                    handled.changes.empty() ? 0 : owner.written + owner.writes.size();
            owner.unsent.push_back({after, message.from, std::move(*handled.response)});
            sendResponses(owner);
        }
    }

    void abandonAll(Owner &owner)
    {
        for (auto &[shard, lender] : owner.book.lenders) {
            if (lender.underWay) {
                abandonRequest(owner.book, shard, lender.underWay->id, now);
            }
        }
    }

    // Whether all owners know the cap, and none has lent or uses more than it allows.
    bool isSettled()
    {
        for (Shard &shard : shards) {
            const LoanBook &book = shard.present().book;
            const jobs::Resources balance = balanceOf(book, account);
            for (const auto field : resourceFields) {
                if (cap.*field != unlimitedAmount
                    && balance.*field < std::max<std::int64_t>(book.use.at(account).*field, 0)) {
                    return false;
                }
            }
            if (book.limits.at(account) != cap) {
                return false;
            }
        }
        return true;
    }

    // What all present owners may have running together is within the cap, or within an earlier one
    // while something still rests on it.
    bool isWithinBound()
    {
        if (isSettled()) {
            bound = cap;
        }
        for (const auto field : resourceFields) {
            std::int64_t sum = 0;
            std::int64_t running = 0;
            for (Shard &shard : shards) {
                const LoanBook &book = shard.present().book;
                running += shard.runs.*field;
                if (bound.*field != unlimitedAmount) {
                    sum += std::max(limitOf(book, account).*field, book.use.at(account).*field);
                }
            }
            if (bound.*field != unlimitedAmount && std::max(sum, running) > bound.*field) {
                return false;
            }
        }
        return true;
    }
};

}  // namespace poplarstream::accounts::test
