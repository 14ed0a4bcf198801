#pragma once

#include <cstdint>  // for int64_t
#include <functional>  // for function
#include <map>  // for map
#include <memory>  // for shared_ptr
#include <optional>  // for optional

#include "poplarstream/accounts/admission.hpp"  // for Hold
#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint
#include "poplarstream/edge/owner_session.hpp"  // for OwnerSession

namespace poplarstream::edge {

// What the ownership of a shard needs from the rest of the process.
struct ShardOwnerHooks
{
    // Null until a configuration has been read.
    std::function<const Configuration *()> configuration;
    // The operator's waves, by number.
    std::function<const std::map<std::int64_t, pools::Wave> &()> waves;
    // Whether a shard has carried out a wave, as far as its owners have said.
    std::function<bool(int shard, std::int64_t wave)> hasCarriedOut;
    // The ownership log of the shard has been read or written.
    std::function<void()> changed;
    // The number of shards has been read from the ownership log, or stored.
    std::function<void(int shardCount)> divided;
    // The processor time that this process has for a shard, in cores.
    std::function<double(int shard)> processorShare;
    // Sends a request for parts of caps to the owner of another shard.
    std::function<void(int shard, std::string request, LoanRespond done)> requestLoans;
};

// Competes for the ownership of one shard, and runs the shard's jobs while this process owns it.
class ShardOwner
{
public:
    ShardOwner(Runtime &runtime, int shard, ShardOwnerHooks hooks);
    ShardOwner(const ShardOwner &) = delete;
    ShardOwner &operator=(const ShardOwner &) = delete;
    ~ShardOwner();

    // Begins a session if this process is the owner; there is none before.
    void setShardCount(int shardCount);
    // Stores the number of shards, as the owner.
    void storeDivision(int shardCount);

    void configure(const Configuration &configuration);
    void applyWave(const pools::Wave &wave);

    // Whether this process is the owner, as far as it has read the ownership log.
    bool isOwner() const;
    // Whether this process is the owner or may have claimed the ownership.
    bool isHolding() const;
    bool hasCarriedOut(std::int64_t wave) const;
    // The address of the owner, if one is known.
    std::optional<HttpEndpoint> ownerAddress() const;
    // What the owner has said about an account, if it said so lately.
    std::optional<accounts::Hold> holdOf(const AccountId &account) const;
    // Null unless this process owns the shard.
    const OwnerSession *session() const;

    // Reads the ownership log soon: the owner may have changed.
    void refresh();
    // Ends the session, whose state may be inconsistent. The next owner, possibly this process
    // again, loads the state from the store.
    void abandon();
    // Resigns the ownership and does not claim it again.
    void leave();

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
