#include "poplarstream/edge/entry_process.hpp"

#include <algorithm>  // for max

#include <fmt/format.h>  // for format
#include <fmt/ranges.h>  // for join

#include "poplarstream/edge/caller_handler.hpp"  // for CallerHandler
#include "poplarstream/edge/division_choice.hpp"  // for DivisionChoice
#include "poplarstream/edge/group_append.hpp"  // for GroupAppend
#include "poplarstream/edge/log_follower.hpp"  // for LogFollower
#include "poplarstream/edge/readiness.hpp"  // for isInContact
#include "poplarstream/edge/shard_owner.hpp"  // for ShardOwner
#include "poplarstream/edge/stored_jobs.hpp"  // for jobPartition
#include "poplarstream/ownership/shard_claims.hpp"  // for shareForShard
#include "poplarstream/telemetry/event_kinds.hpp"  // for configurationInForce

namespace poplarstream::edge {

namespace {

// For appends on behalf of other entry hosts, which wait 1 s for the response.
constexpr Milliseconds peerStoreDeadline{800};
// For requests for parts of caps, whose response waits for a write to the store.
constexpr Milliseconds loansDeadline{1000};
constexpr std::string_view explainPath = "/explain/";

}  // namespace

struct EntryProcess::State : std::enable_shared_from_this<EntryProcess::State>
{
    State(Runtime &sharedRuntime, HttpClient &peerClient)
        : runtime(sharedRuntime)
        , peers(peerClient)
        , callers(sharedRuntime,
                  {[this] { return hasConfiguration ? &configuration : nullptr; },
                   [this] { return operatorFollower->currentAsOf(); },
                   [this] { return shardCount; },
                   [this](const PeerRequest &request, Milliseconds deadline,
                          std::function<void(PeerResponse)> done) {
                       sendToOwner(request, deadline, std::move(done));
                   },
                   [this](int shard) { return isOwnerOf(shard); },
                   [this](int shard, const AccountId &account) { return holdOf(shard, account); },
                   [this] { return isNewestUnusable; }})
    {
        const int count = runtime.settings.jobPartitions;
        for (int partition = 0; partition < count; ++partition) {
            peerAppends.push_back(std::make_unique<GroupAppend>(
                    runtime.store, JobPartition{partition, count}, peerStoreDeadline,
                    runtime.settings.maxCallBytes));
        }
    }

    void start()
    {
        FollowerEvents events;
        events.snapshot = [this](const std::vector<StoredRecord> &records, std::int64_t) {
            applyOperatorRecords(records);
        };
        events.records = events.snapshot;
        operatorFollower = std::make_unique<LogFollower>(runtime, Log::Operator, FollowerSettings{},
                                                         std::move(events));
        shards.push_back(std::make_unique<ShardOwner>(runtime, 0, shardHooks()));
        if (runtime.settings.jobPartitions == 1) {
            divide(1);
        }
    }

    void applyOperatorRecords(const std::vector<StoredRecord> &records)
    {
        for (const StoredRecord &record : records) {
            if (!record.value) {
                continue;
            }
            if (runtime.decode.isConfiguration(record.key)) {
                applyConfiguration(record);
            } else if (runtime.decode.isWave(record.key)) {
                applyWave(record);
            }
        }
    }

    void applyConfiguration(const StoredRecord &record)
    {
        Result<Configuration> decoded = runtime.decode.configuration(*record.value);
        if (!decoded) {
            isNewestUnusable = true;
            logEvent(events::configurationUnusable,
                     {{"in_force", fmt::to_string(configuration.version)},
                      {"offset", fmt::to_string(record.offset)},
                      {"fault", decoded.failure().message}});
            return;
        }
        if (hasConfiguration && decoded.value().version <= configuration.version) {
            // An operator may store the version in force again to withdraw an unusable one.
            isNewestUnusable = isNewestUnusable && decoded.value().version != configuration.version;
            return;
        }
        isNewestUnusable = false;
        configuration = std::move(decoded).value();
        hasConfiguration = true;
        logEvent(events::configurationInForce, {{"config", fmt::to_string(configuration.version)},
                                                {"offset", fmt::to_string(record.offset)},
                                                {"author", "operator"}});
        for (const auto &shard : shards) {
            shard->configure(configuration);
        }
    }

    void applyWave(const StoredRecord &record)
    {
        Result<pools::Wave> wave = runtime.decode.wave(*record.value);
        if (!wave) {
            logEvent(events::recordUnreadable, {{"stream", "operator"},
                                                {"offset", fmt::to_string(record.offset)},
                                                {"fault", wave.failure().message}});
            return;
        }
        waves[wave.value().number] = wave.value();
        for (const auto &shard : shards) {
            shard->applyWave(wave.value());
        }
    }

    ShardOwnerHooks shardHooks()
    {
        ShardOwnerHooks made;
        made.configuration = [this] { return hasConfiguration ? &configuration : nullptr; };
        made.waves = [this]() -> const std::map<std::int64_t, pools::Wave> & { return waves; };
        made.hasCarriedOut = [this](int shard, std::int64_t wave) {
            return shards.at(static_cast<std::size_t>(shard))->hasCarriedOut(wave);
        };
        made.changed = [this] {
            if (shardCount == 0 && !shards.empty()) {
                chooseDivision();
            }
        };
        made.processorShare = [this](int shard) { return processorShareOf(shard); };
        made.requestLoans = [this](int shard, std::string text, LoanRespond done) {
            requestLoans(shard, std::move(text), std::move(done));
        };
        made.divided = [weak = weak_from_this()](int count) {
            // The call comes out of the first shard's controller.
            if (const auto self = weak.lock()) {
                callAfter(self->runtime, Milliseconds{0}, [weak, count] {
                    if (const auto later = weak.lock(); later && !later->isClosed) {
                        later->divide(count);
                    }
                });
            }
        };
        return made;
    }

    double processorShareOf(int shard) const
    {
        std::vector<bool> held(static_cast<std::size_t>(std::max(shardCount, 1)), false);
        for (std::size_t each = 0; each < shards.size(); ++each) {
            held[each] = shards[each]->isHolding();
        }
        return ownership::shareForShard(runtime.settings.processorShare, held, shard);
    }

    // As the owner of the first shard, decides on the division that nobody has stored yet.
    void chooseDivision()
    {
        if (!shards[0]->isOwner()) {
            divisionChoice.reset();
        } else if (!divisionChoice) {
            divisionChoice = std::make_unique<DivisionChoice>(runtime, [this](int count) {
                if (shardCount == 0) {
                    shards[0]->storeDivision(count);
                }
            });
        }
    }

    // Begins to compete for all shards. The number of shards never changes afterwards.
    void divide(int count)
    {
        if (shardCount != 0) {
            return;
        }
        shardCount = count;
        divisionChoice.reset();
        logEvent(events::deploymentDivided, {{"shards", fmt::to_string(count)}});
        for (int shard = 1; shard < count; ++shard) {
            shards.push_back(std::make_unique<ShardOwner>(runtime, shard, shardHooks()));
            if (isLeaving) {
                shards.back()->leave();
            }
        }
        for (const auto &shard : shards) {
            shard->setShardCount(count);
        }
    }

    // Gives up all shards: it is not known whose state the broken callback has changed.
    void abandonOwnership()
    {
        for (const auto &shard : shards) {
            shard->abandon();
        }
    }

    // Null if there is no such shard.
    ShardOwner *shardOf(const PeerRequest &request) const
    {
        const auto index = static_cast<std::size_t>(request.shard);
        return shardCount > 0 && index < shards.size() ? shards[index].get() : nullptr;
    }

    std::optional<accounts::Hold> holdOf(int shard, const AccountId &account) const
    {
        const auto index = static_cast<std::size_t>(shard);
        return index < shards.size() ? shards[index]->holdOf(account) : std::nullopt;
    }

    bool isOwnerOf(int shard) const
    {
        const auto index = static_cast<std::size_t>(shard);
        return shardCount > 0 && index < shards.size() && shards[index]->session() != nullptr;
    }

    void sendToOwner(const PeerRequest &request, Milliseconds deadline,
                     std::function<void(PeerResponse)> done)
    {
        ShardOwner *const shard = shardOf(request);
        if (shard == nullptr) {
            done({PeerResponse::Kind::NotOwner});
            return;
        }
        if (shard->session() != nullptr) {
            respondAsOwner(request, std::move(done));
            return;
        }
        const auto address = shard->ownerAddress();
        if (!address || *address == runtime.settings.control) {
            done({PeerResponse::Kind::NotOwner});
            return;
        }
        sendToPeer(peers, *address, request, deadline,
                   [weak = weak_from_this(), request,
                    done = std::move(done)](const PeerResponse &response) {
                       const auto self = weak.lock();
                       if (self && response.kind == PeerResponse::Kind::Stored) {
                           self->ownerStoredAt = steadyNow();
                       }
                       const bool isFromOwner = response.kind != PeerResponse::Kind::NoResponse
                                                && response.kind != PeerResponse::Kind::NotOwner;
                       if (self && !self->isClosed && !isFromOwner) {
                           self->shardOf(request)->refresh();
                       }
                       done(response);
                   });
    }

    void requestLoans(int shard, std::string text, LoanRespond done)
    {
        PeerRequest request;
        request.kind = PeerRequest::Kind::Loans;
        request.shard = shard;
        request.loans = std::move(text);
        sendToOwner(request, loansDeadline, [done = std::move(done)](PeerResponse response) {
            const bool isAnswered = response.kind == PeerResponse::Kind::Loans;
            done(isAnswered ? std::optional(std::move(response.loans)) : std::nullopt);
        });
    }

    // Handles a request as the owner.
    void respondAsOwner(const PeerRequest &request, std::function<void(PeerResponse)> done)
    {
        const ShardOwner *const shard = shardOf(request);
        const OwnerSession *const session = shard != nullptr ? shard->session() : nullptr;
        if (session == nullptr || !session->isLoaded()) {
            done({PeerResponse::Kind::NotOwner});
            return;
        }
        if (request.kind == PeerRequest::Kind::Store) {
            storeForPeer(request, std::move(done));
            return;
        }
        if (request.kind == PeerRequest::Kind::Loans) {
            session->respondToLoans(request.loans, [done](std::optional<std::string> loans) {
                PeerResponse response;
                response.kind = loans ? PeerResponse::Kind::Loans : PeerResponse::Kind::NotOwner;
                response.loans = std::move(loans).value_or(std::string());
                done(std::move(response));
            });
            return;
        }
        const LoadMeter::Section section(runtime.load, OwnerWork::Lookups);
        PeerResponse response;
        if (request.kind == PeerRequest::Kind::Count && !session->isCurrent(steadyNow())) {
            response.kind = PeerResponse::Kind::NotOwner;
        } else if (request.kind == PeerRequest::Kind::Count) {
            response.kind = PeerResponse::Kind::Count;
            response.count = session->waitingJobs(request.queue);
        } else if (const auto state =
                           session->stateOf(request.queue, request.job, request.account)) {
            response.kind = PeerResponse::Kind::State;
            response.state = *state;
        } else {
            response.kind = session->isCurrent(steadyNow()) ? PeerResponse::Kind::UnknownJob
                                                            : PeerResponse::Kind::NotOwner;
        }
        done(response);
    }

    void storeForPeer(const PeerRequest &request, std::function<void(PeerResponse)> done)
    {
        if (request.records.size() != 1) {
            done({PeerResponse::Kind::NotStored});
            return;
        }
        const int partition = jobPartition(request.records[0], runtime.settings.jobPartitions);
        GroupAppend &appends = *peerAppends[static_cast<std::size_t>(partition)];
        appends.append(request.records, [done = std::move(done)](const AppendOutcome &outcome) {
            const AppendResult result = outcome.result;
            done({result == AppendResult::Stored ? PeerResponse::Kind::Stored
                  : result == AppendResult::NotDone || result == AppendResult::Refused
                          ? PeerResponse::Kind::NotStored
                          : PeerResponse::Kind::NoResponse});
        });
    }

    Runtime &runtime;
    HttpClient &peers;
    Configuration configuration;
    bool hasConfiguration = false;
    bool isNewestUnusable = false;  // a version that was read since could not be decoded
    std::map<std::int64_t, pools::Wave> waves;
    // For other entry hosts, while this process is the owner; one for each partition.
    std::vector<std::unique_ptr<GroupAppend>> peerAppends;
    CallerHandler callers;
    std::unique_ptr<LogFollower> operatorFollower;
    std::unique_ptr<DivisionChoice> divisionChoice;
    int shardCount = 0;  // 0 while it is not known
    std::vector<std::unique_ptr<ShardOwner>> shards;  // the first alone while it is not known
    TimePoint ownerStoredAt{};  // when the owner last wrote something for this process
    std::uint64_t failures = 0;  // callbacks that threw an exception
    bool isLeaving = false;
    bool isClosed = false;
};

EntryProcess::EntryProcess(Runtime &runtime, HttpClient &peers)
    : state_(std::make_shared<State>(runtime, peers))
{
    state_->start();
}

EntryProcess::~EntryProcess()
{
    state_->isClosed = true;
    state_->divisionChoice.reset();
    state_->shards.clear();
    state_->operatorFollower.reset();
}

void EntryProcess::handleCall(const Call &call, const Respond &respond)
{
    state_->callers.handleCall(call, respond);
}

void EntryProcess::handlePeerRequest(const HttpRequest &request, const HttpRespond &respond)
{
    const std::optional<PeerRequest> peerRequest = peerRequestFrom(request);
    if (!peerRequest) {
        respond(jsonResponse(404, "{}"));
        return;
    }
    state_->respondAsOwner(*peerRequest, [respond](const PeerResponse &response) {
        respond(responseFor(response));
    });
}

bool EntryProcess::isReady() const
{
    const LogFollower &follower = *state_->operatorFollower;
    const ContactEvidence evidence{follower.isReachable(), follower.lastReadAt(),
                                   state_->ownerStoredAt};
    return state_->hasConfiguration && !state_->isLeaving && isInContact(evidence, steadyNow());
}

void EntryProcess::abandonOwnership()
{
    ++state_->failures;
    state_->abandonOwnership();
}

void EntryProcess::leave(TimePoint end)
{
    state_->isLeaving = true;
    state_->callers.leave(end);
    for (const auto &shard : state_->shards) {
        shard->leave();
    }
}

HttpResponse EntryProcess::respondToOperator(const HttpRequest &request) const
{
    const HttpHeaders plainText{{"Content-Type", "text/plain"}};
    if (!request.target.starts_with(explainPath)) {
        return {200, plainText, metrics()};
    }
    const engine::JobId id(request.target.substr(explainPath.size()));
    for (const auto &shard : state_->shards) {
        const OwnerSession *const session = shard->session();
        const std::vector<std::string> lines =
                session == nullptr ? std::vector<std::string>{} : session->explainJob(id);
        if (!lines.empty()) {
            return {200, plainText, fmt::format("{}\n", fmt::join(lines, "\n"))};
        }
    }
    return {404, plainText,
            "No such job on the shards that this process owns; ask the other entry hosts.\n"};
}

std::string EntryProcess::metrics() const
{
    std::string sessions;
    for (const auto &shard : state_->shards) {
        if (const OwnerSession *const session = shard->session()) {
            sessions += session->metrics();
        }
    }
    std::string text =
            fmt::format("poplar_configuration_version {}\npoplar_is_owner {}\n"
                        "poplar_callbacks_failed_total {}\n",
                        state_->configuration.version, sessions.empty() ? 0 : 1, state_->failures);
    if (!sessions.empty()) {
        text += sessions + state_->runtime.load.prometheusText();
    }
    return text + state_->callers.metrics() + state_->runtime.durations.prometheusText();
}

}  // namespace poplarstream::edge
