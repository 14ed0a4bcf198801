#include "poplarstream/edge/shard_owner.hpp"

#include <fmt/format.h>  // for to_string

#include "poplarstream/edge/leadership_controller.hpp"  // for LeadershipController
#include "poplarstream/telemetry/event_kinds.hpp"  // for ownershipLost

namespace poplarstream::edge {

namespace {

// A renewal that is older says nothing about accounts: entry hosts read the renewals of a shard
// at least every 1450 ms, and an owner that is away does not publish the end of a hold.
constexpr Milliseconds holdLifetime{3000};

}  // namespace

struct ShardOwner::State : std::enable_shared_from_this<ShardOwner::State>
{
    State(Runtime &sharedRuntime, int ownShard, ShardOwnerHooks given)
        : runtime(sharedRuntime)
        , shard(ownShard)
        , hooks(std::move(given))
    {}

    void start()
    {
        LeadershipEvents events;
        events.changed = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->handleLeadershipChange();
            }
        };
        events.divided = [weak = weak_from_this()](int count) {
            if (const auto self = weak.lock()) {
                self->hooks.divided(count);
            }
        };
        events.processorShare = [processorShare = hooks.processorShare, shard = shard] {
            return processorShare(shard);
        };
        leadership = std::make_unique<LeadershipController>(runtime, shard, std::move(events));
    }

    // Begins or ends the owner session after a change of the ownership log.
    void handleLeadershipChange()
    {
        if (!leadership) {
            return;
        }
        const ownership::Leadership &view = leadership->leadership();
        const bool isOwner = ownership::isOwner(view) && !isSuperseded(view.last->epoch);
        if (session && (!isOwner || sessionEpoch != view.last->epoch)) {
            logEvent(events::ownershipLost,
                     {{"epoch", fmt::to_string(sessionEpoch)}, {"shard", fmt::to_string(shard)}});
            // The session may be on the call stack.
            closeSession(std::move(session));
            leadership->publishAccountHolds({});
        }
        if (isOwner && !session && shardCount > 0) {
            beginSession(view.last->epoch);
        }
        hooks.changed();
    }

    bool isSuperseded(std::int64_t epoch) const { return epoch <= supersededEpoch; }

    void closeSession(std::unique_ptr<OwnerSession> old)
    {
        const std::shared_ptr<OwnerSession> closing = std::move(old);
        closing->close();
        callAfter(runtime, Milliseconds{0}, [closing] {});
    }

    void beginSession(std::int64_t epoch)
    {
        sessionEpoch = epoch;
        PredecessorState predecessor;
        predecessor.epoch = epoch;
        predecessor.owners = leadership->leadership().earlier;
        predecessor.recentMachineCommands = leadership->recentMachineCommands();
        session = std::make_unique<OwnerSession>(runtime, ownership::Shard{shard, shardCount},
                                                 predecessor, sessionHooks(epoch));
        if (const Configuration *const configuration = hooks.configuration()) {
            session->configure(*configuration);
        }
        for (const auto &[number, wave] : hooks.waves()) {
            session->applyWave(wave);
        }
    }

    OwnerSessionHooks sessionHooks(std::int64_t epoch)
    {
        OwnerSessionHooks made;
        made.isOwner = [this] {
            return leadership && ownership::isOwner(leadership->leadership())
                   && !leadership->leadership().isLeaving;
        };
        made.mayHaveResigned = [this] {
            return !leadership || ownership::mayHaveResigned(leadership->leadership());
        };
        made.mayIssueCommands = [this] {
            return leadership && ownership::mayIssueCommands(leadership->leadership(), steadyNow());
        };
        made.confirmedAt = [this] { return leadership->leadership().confirmedAt; };
        made.confirm = [this](std::vector<std::string> machines, std::function<void(bool)> done) {
            leadership->confirm(std::move(machines), std::move(done));
        };
        made.fenced = [this, epoch] { leadership->recordFence(epoch); };
        made.superseded = [this, epoch] {
            // A write may also be refused although nobody has claimed the ownership. Then this
            // process would go on renewing it and run nothing.
            leadership->abandon(epoch);
            supersededEpoch = epoch;
            handleLeadershipChange();
        };
        made.hasCarriedOut = hooks.hasCarriedOut;
        made.requestLoans = hooks.requestLoans;
        made.carriedOut = [this](std::int64_t wave) { leadership->recordCarriedOut(wave); };
        made.publishHolds = [this](const accounts::Holds &decided) {
            leadership->publishAccountHolds(accounts::encodeHolds(decided));
        };
        return made;
    }

    Runtime &runtime;
    int shard;
    int shardCount = 0;  // 0 while it is not known
    ShardOwnerHooks hooks;
    std::unique_ptr<LeadershipController> leadership;
    std::unique_ptr<OwnerSession> session;
    std::int64_t sessionEpoch = 0;
    std::int64_t supersededEpoch = 0;
    std::string holdsText;  // the holds that were read last, and their text
    accounts::Holds holds;
};

ShardOwner::ShardOwner(Runtime &runtime, int shard, ShardOwnerHooks hooks)
    : state_(std::make_shared<State>(runtime, shard, std::move(hooks)))
{
    state_->start();
}

ShardOwner::~ShardOwner()
{
    state_->session.reset();
    state_->leadership.reset();
}

void ShardOwner::setShardCount(int shardCount)
{
    state_->shardCount = shardCount;
    state_->handleLeadershipChange();
}

void ShardOwner::storeDivision(int shardCount)
{
    state_->leadership->storeDivision(shardCount);
}

void ShardOwner::configure(const Configuration &configuration)
{
    if (state_->session) {
        state_->session->configure(configuration);
    }
}

void ShardOwner::applyWave(const pools::Wave &wave)
{
    if (state_->session) {
        state_->session->applyWave(wave);
    }
}

bool ShardOwner::isOwner() const
{
    return ownership::isOwner(state_->leadership->leadership());
}

bool ShardOwner::isHolding() const
{
    return ownership::isHolding(state_->leadership->leadership());
}

bool ShardOwner::hasCarriedOut(std::int64_t wave) const
{
    return state_->leadership->leadership().carriedOutWaves.contains(wave);
}

std::optional<HttpEndpoint> ShardOwner::ownerAddress() const
{
    const auto &last = state_->leadership->leadership().last;
    return last ? endpointFromText(last->address) : std::nullopt;
}

std::optional<accounts::Hold> ShardOwner::holdOf(const AccountId &account) const
{
    const ownership::Leadership &view = state_->leadership->leadership();
    if (!view.last || view.last->accountHolds.empty()
        || view.lastSeenAt + holdLifetime < steadyNow()) {
        return {};
    }
    if (view.last->accountHolds != state_->holdsText) {
        state_->holdsText = view.last->accountHolds;
        state_->holds = accounts::decodeHolds(state_->holdsText);
    }
    const auto found = state_->holds.find(account);
    return found != state_->holds.end() ? std::optional(found->second) : std::nullopt;
}

const OwnerSession *ShardOwner::session() const
{
    return state_->session.get();
}

void ShardOwner::refresh()
{
    state_->leadership->refresh();
}

void ShardOwner::abandon()
{
    if (state_->session) {
        state_->leadership->abandon(state_->sessionEpoch);
        state_->supersededEpoch = state_->sessionEpoch;
        state_->handleLeadershipChange();
    }
}

void ShardOwner::leave()
{
    state_->leadership->leave();
}

}  // namespace poplarstream::edge
