#include "poplarstream/edge/cap_lending.hpp"

#include <algorithm>  // for any_of
#include <utility>  // for exchange

#include <fmt/format.h>  // for format

#include "poplarstream/accounts/cap.hpp"  // for limitsOf
#include "poplarstream/accounts/loan_borrowing.hpp"  // for beginRequests, handleResponse
#include "poplarstream/accounts/loan_codec.hpp"  // for encodeLoans, decodeRequest
#include "poplarstream/accounts/loan_lending.hpp"  // for handleRequest, markStored
#include "poplarstream/accounts/loan_queries.hpp"  // for limitOf, totalLent
#include "poplarstream/edge/closable.hpp"  // for Closable
#include "poplarstream/edge/loan_log.hpp"  // for LoanLog
#include "poplarstream/engine/job_events.hpp"  // for configureAccounts
#include "poplarstream/engine/waiting_work.hpp"  // for waitingWork
#include "poplarstream/telemetry/event_kinds.hpp"  // for recordUnreadable

namespace poplarstream::edge {

namespace {

constexpr std::string_view loanKeyPrefix = "loan/";
constexpr Milliseconds tickPeriod{200};

std::string loanKey(const AccountId &account)
{
    return std::string(loanKeyPrefix) + account.text();
}

// A change of loans, or the response to one, that waits for the store.
struct PendingChange
{
    std::int64_t collection = 0;  // of the engine's records that the change is in
    accounts::LoanChange change;
};

struct PendingResponse
{
    std::int64_t collection = 0;
    std::vector<accounts::LoanChange> changes;
    std::string text;
    LoanRespond done;
};

}  // namespace

struct CapLending::State : Closable<CapLending::State>
{
    State(Runtime &sharedRuntime, ownership::Shard ownShard, engine::Engine &jobEngine,
          std::int64_t epoch, CapLendingHooks given)
        : runtime(sharedRuntime)
        , shard(ownShard)
        , engine(jobEngine)
        , hooks(std::move(given))
        , book(accounts::makeLoanBook(ownShard.index, ownShard.count, epoch))
        , log(ownShard.index)
    {}

    // Nothing is lent without a cap.
    bool isLending() const
    {
        return shard.count > 1
               && std::any_of(
                       engine.accounts.begin(), engine.accounts.end(),
                       [](const auto &entry) { return entry.second.cap != jobs::Resources{}; });
    }

    accounts::AccountAmounts ownLimits() const
    {
        accounts::AccountAmounts limits;
        for (const auto &[account, whole] : book.limits) {
            limits[account] = accounts::limitOf(book, account);
        }
        return limits;
    }

    // Passes the limits to the engine, which plans again if one has risen.
    void applyLimits()
    {
        accounts::AccountAmounts limits = ownLimits();
        const bool hasRisen = std::any_of(limits.begin(), limits.end(), [this](const auto &entry) {
            const auto known = engine.accountLimits.find(entry.first);
            return known != engine.accountLimits.end() && !entry.second.fits(known->second);
        });
        engine.accountLimits = std::move(limits);
        if (hasRisen) {
            engine.needsPlan = true;
            hooks.changed();
        }
    }

    void tick()
    {
        if (isLending()) {
            const TimePoint now = steadyNow();
            book.use = engine.accountUse;
            accounts::noteWaiting(book, engine::waitingWork(engine, now), unixNowMs());
            accounts::giveBack(book, now);
            const auto requests = accounts::beginRequests(book, now);
            applyLimits();
            for (const auto &[lender, request] : requests) {
                send(lender, request);
            }
        }
        callAfter(runtime, tickPeriod, guarded([](State &self) { self.tick(); }));
    }

    void send(int lender, const accounts::LoanRequest &request)
    {
        hooks.send(lender, accounts::encodeRequest(request),
                   guarded([lender, id = request.id](State &self,
                                                     const std::optional<std::string> &text) {
                       self.handleResponse(lender, id, text);
                   }));
    }

    void handleResponse(int lender, const accounts::RequestId &id,
                        const std::optional<std::string> &text)
    {
        const auto response = text ? accounts::decodeResponse(*text) : std::nullopt;
        if (response && accounts::handleResponse(book, lender, *response, steadyNow())) {
            applyLimits();
        } else {
            accounts::abandonRequest(book, lender, id, steadyNow());
        }
    }

    void respond(const accounts::LoanRequest &request, const LoanRespond &done)
    {
        book.use = engine.accountUse;
        const accounts::AccountAmounts before = accounts::lentTo(book, request.borrower);
        accounts::HandledRequest handled = accounts::handleRequest(book, request, steadyNow());
        // Before anything else starts: what is lent is not this owner's any more.
        applyLimits();
        if (!handled.response) {
            done({});
            return;
        }
        log.write(request, before, accounts::lentTo(book, request.borrower), steadyNow());
        std::string text = accounts::encodeResponse(*handled.response);
        if (handled.changes.empty()) {
            done(std::move(text));
            return;
        }
        const std::int64_t collection = engine.collections + 1;
        for (const accounts::LoanChange &change : handled.changes) {
            engine.pendingRecords.push_back(
                    {loanKey(change.account),
                     accounts::encodeLoans(book.lent.at(change.account).byShard)});
            changes.push_back({collection, change});
        }
        responses.push_back({collection, std::move(handled.changes), std::move(text), done});
        hooks.changed();
    }

    bool isRefused(const accounts::LoanChange &change) const
    {
        return engine.refusedRecords.contains(loanKey(change.account));
    }

    void handleStored()
    {
        const std::int64_t stored = engine.collectionsStored;
        std::erase_if(changes, [this, stored](const PendingChange &pending) {
            if (pending.collection > stored) {
                return false;
            }
            if (!isRefused(pending.change)) {
                accounts::markStored(book, pending.change);
            }
            return true;
        });
        std::vector<PendingResponse> ready;
        std::erase_if(responses, [&ready, stored](PendingResponse &pending) {
            const bool isReady = pending.collection <= stored;
            if (isReady) {
                ready.push_back(std::move(pending));
            }
            return isReady;
        });
        if (!ready.empty()) {
            applyLimits();
        }
        for (PendingResponse &response : ready) {
            const bool isLost =
                    std::any_of(response.changes.begin(), response.changes.end(),
                                [this](const auto &change) { return isRefused(change); });
            response.done(isLost ? std::nullopt : std::optional(std::move(response.text)));
        }
    }

    Runtime &runtime;
    ownership::Shard shard;
    engine::Engine &engine;
    CapLendingHooks hooks;
    accounts::LoanBook book;
    LoanLog log;
    std::vector<PendingChange> changes;
    std::vector<PendingResponse> responses;
};

CapLending::CapLending(Runtime &runtime, ownership::Shard shard, engine::Engine &engine,
                       std::int64_t epoch, CapLendingHooks hooks)
    : state_(std::make_shared<State>(runtime, shard, engine, epoch, std::move(hooks)))
{}

CapLending::~CapLending()
{
    state_->isClosed = true;
}

bool CapLending::isLoanRecord(const StoredRecord &record)
{
    return record.key.starts_with(loanKeyPrefix);
}

void CapLending::adopt(const StoredRecord &record)
{
    if (!record.value) {
        return;
    }
    const AccountId account(record.key.substr(loanKeyPrefix.size()));
    if (auto loans = accounts::decodeLoans(*record.value)) {
        accounts::adoptLoans(state_->book, account, std::move(*loans));
        return;
    }
    logEvent(events::recordUnreadable, {{"stream", "progress"},
                                        {"offset", fmt::to_string(record.offset)},
                                        {"fault", "not the record of loans"}});
    state_->book.unreadable.insert(account);
}

void CapLending::configure(const accounts::ClientAccounts &accounts)
{
    state_->book.limits.clear();
    for (const auto &[id, account] : accounts) {
        state_->book.limits[id] = accounts::limitsOf(account.cap);
    }
    engine::configureAccounts(state_->engine, accounts, state_->ownLimits(),
                              1.0 / state_->shard.count);
}

void CapLending::start()
{
    state_->applyLimits();
    if (state_->shard.count > 1) {
        state_->tick();
    }
}

void CapLending::respond(const std::string &request, const LoanRespond &done)
{
    if (const auto decoded = accounts::decodeRequest(request)) {
        state_->respond(*decoded, done);
    } else {
        done({});
    }
}

void CapLending::handleStored()
{
    state_->handleStored();
}

void CapLending::close()
{
    state_->isClosed = true;
    for (const PendingResponse &response : std::exchange(state_->responses, {})) {
        response.done({});
    }
}

std::string CapLending::metrics() const
{
    if (!state_->isLending()) {
        return {};
    }
    const jobs::Resources lent = accounts::totalLent(state_->book);
    const jobs::Resources held = accounts::totalHeld(state_->book);
    return fmt::format("poplar_cap_lent{{shard=\"{0}\",resource=\"cpu_milli\"}} {1}\n"
                       "poplar_cap_lent{{shard=\"{0}\",resource=\"memory_mb\"}} {2}\n"
                       "poplar_cap_lent{{shard=\"{0}\",resource=\"gpus\"}} {3}\n"
                       "poplar_cap_held{{shard=\"{0}\",resource=\"cpu_milli\"}} {4}\n"
                       "poplar_cap_held{{shard=\"{0}\",resource=\"memory_mb\"}} {5}\n"
                       "poplar_cap_held{{shard=\"{0}\",resource=\"gpus\"}} {6}\n",
                       state_->shard.index, lent.cpuMilli, lent.memoryMb, lent.gpus, held.cpuMilli,
                       held.memoryMb, held.gpus);
}

}  // namespace poplarstream::edge
