#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <optional>  // for optional
#include <string>  // for string

#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/engine/state.hpp"  // for Engine
#include "poplarstream/ownership/division.hpp"  // for Shard

namespace poplarstream::edge {

// The text of a response; empty if there was none.
using LoanRespond = std::function<void(std::optional<std::string> response)>;

struct CapLendingHooks
{
    // Sends a request to the owner of a shard. Calls `done` once.
    std::function<void(int shard, std::string request, LoanRespond done)> send;
    // There are records to be written, or limits were raised.
    std::function<void()> changed;
};

// Borrows and lends parts of the caps of client accounts, for the owner of one shard of several;
// keeps the limits of the engine. An owner of the only shard has the whole caps, sends nothing and
// stores nothing.
class CapLending
{
public:
    // The engine must outlive it.
    CapLending(Runtime &runtime, ownership::Shard shard, engine::Engine &engine, std::int64_t epoch,
               CapLendingHooks hooks);
    CapLending(const CapLending &) = delete;
    CapLending &operator=(const CapLending &) = delete;
    ~CapLending();

    // Whether a record of the progress log that belongs to no job is one of loans.
    static bool isLoanRecord(const StoredRecord &record);
    // Restores loans of an earlier owner. To be called before `start`.
    void adopt(const StoredRecord &record);

    void configure(const accounts::ClientAccounts &accounts);
    // Begins to borrow; all loans of earlier owners have been adopted.
    void start();

    // Handles the request of another owner. Responds once the loans are stored.
    void respond(const std::string &request, const LoanRespond &done);
    // A batch of the engine has been stored.
    void handleStored();
    // Responds to what is still waiting for the store, and does nothing afterwards.
    void close();

    // In the Prometheus text format; empty if nothing is lent between owners.
    std::string metrics() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
