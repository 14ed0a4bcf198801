#include "poplarstream/edge/entry_process.hpp"

#include <fmt/format.h>  // for format

#include "poplarstream/edge/caller_handler.hpp"  // for CallerHandler
#include "poplarstream/edge/group_append.hpp"  // for GroupAppend
#include "poplarstream/edge/leadership_controller.hpp"  // for LeadershipController
#include "poplarstream/edge/log_follower.hpp"  // for LogFollower
#include "poplarstream/edge/owner_session.hpp"  // for OwnerSession
#include "poplarstream/edge/stored_jobs.hpp"  // for jobPartition
#include "poplarstream/telemetry/event_kinds.hpp"  // for configurationInForce

namespace poplarstream::edge {

namespace {

// If neither the store could be read nor the owner has responded for this long, the process is not
// ready: other entry hosts can serve callers better.
constexpr Milliseconds readinessTimeout{3000};
// For appends on behalf of other entry hosts, which wait 1 s for the response.
constexpr Milliseconds peerStoreDeadline{800};

}  // namespace

struct EntryProcess::State : std::enable_shared_from_this<EntryProcess::State>
{
    State(Runtime &sharedRuntime, HttpClient &peerClient)
        : runtime(sharedRuntime)
        , peers(peerClient)
        , callers(sharedRuntime, {[this] { return hasConfiguration ? &configuration : nullptr; },
                                  [this](const PeerRequest &request, Milliseconds deadline,
                                         std::function<void(PeerResponse)> done) {
                                      sendToOwner(request, deadline, std::move(done));
                                  }})
    {
        for (int partition = 0; partition < runtime.settings.jobPartitions; ++partition) {
            peerAppends.push_back(
                    std::make_unique<GroupAppend>(runtime.store, partition, peerStoreDeadline));
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
        leadership = std::make_unique<LeadershipController>(
                runtime, LeadershipEvents{[weak = weak_from_this()] {
                    if (const auto self = weak.lock()) {
                        self->handleLeadershipChange();
                    }
                }});
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
            logEvent(events::recordUnreadable, {{"stream", "operator"},
                                                {"offset", fmt::to_string(record.offset)},
                                                {"fault", decoded.failure().message}});
            return;
        }
        if (hasConfiguration && decoded.value().version <= configuration.version) {
            return;
        }
        configuration = std::move(decoded).value();
        hasConfiguration = true;
        logEvent(events::configurationInForce, {{"config", fmt::to_string(configuration.version)},
                                                {"offset", fmt::to_string(record.offset)},
                                                {"author", "operator"}});
        if (session) {
            session->configure(configuration);
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
        if (session) {
            session->applyWave(wave.value());
        }
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
            logEvent(events::ownershipLost, {{"epoch", fmt::to_string(sessionEpoch)}});
            // The session may be on the call stack.
            closeSession(std::move(session));
        }
        if (isOwner && !session) {
            beginSession(view.last->epoch);
        }
    }

    // Ends the owner session, whose state may be inconsistent. The next owner, possibly this
    // process again, loads the state from the store.
    void abandonOwnership()
    {
        if (session) {
            leadership->abandon(sessionEpoch);
            supersededEpoch = sessionEpoch;
            handleLeadershipChange();
        }
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
        predecessor.isHandover =
                leadership->hasPredecessorResigned() || !leadership->hasPredecessor();
        predecessor.unresignedUntil = leadership->leadership().unresignedUntil;
        predecessor.recentMachineCommands = leadership->recentMachineCommands();
        OwnerSessionHooks hooks;
        hooks.isOwner = [this] {
            return leadership && ownership::isOwner(leadership->leadership())
                   && !leadership->leadership().isLeaving;
        };
        hooks.mayIssueCommands = [this] {
            return leadership && ownership::mayIssueCommands(leadership->leadership(), steadyNow());
        };
        hooks.confirmedAt = [this] { return leadership->leadership().confirmedAt; };
        hooks.confirm = [this](std::vector<std::string> machines, std::function<void(bool)> done) {
            leadership->confirm(std::move(machines), std::move(done));
        };
        hooks.superseded = [this, epoch] {
            supersededEpoch = epoch;
            handleLeadershipChange();
        };
        session = std::make_unique<OwnerSession>(runtime, predecessor, std::move(hooks));
        if (hasConfiguration) {
            session->configure(configuration);
        }
        for (const auto &[number, wave] : waves) {
            session->applyWave(wave);
        }
    }

    void sendToOwner(const PeerRequest &request, Milliseconds deadline,
                     std::function<void(PeerResponse)> done)
    {
        const auto &last = leadership->leadership().last;
        if (session) {
            respondAsOwner(request, std::move(done));
            return;
        }
        const auto address = last ? endpointFromText(last->address) : std::nullopt;
        if (!address || *address == runtime.settings.control) {
            done({PeerResponse::Kind::NotOwner});
            return;
        }
        sendToPeer(peers, *address, request, deadline,
                   [weak = weak_from_this(), done = std::move(done)](const PeerResponse &response) {
                       const auto self = weak.lock();
                       if (self && response.kind != PeerResponse::Kind::NoResponse
                           && response.kind != PeerResponse::Kind::NotOwner) {
                           self->ownerRespondedAt = steadyNow();
                       } else if (self && self->leadership) {
                           self->leadership->refresh();
                       }
                       done(response);
                   });
    }

    // Handles a request as the owner.
    void respondAsOwner(const PeerRequest &request, std::function<void(PeerResponse)> done)
    {
        if (!session || !session->isLoaded()) {
            done({PeerResponse::Kind::NotOwner});
            return;
        }
        if (request.kind == PeerRequest::Kind::Store) {
            storeForPeer(request, std::move(done));
            return;
        }
        const LoadMeter::Section section(runtime.load, OwnerWork::Lookups);
        PeerResponse response;
        if (request.kind == PeerRequest::Kind::Count && !session->isCurrent(steadyNow())) {
            response.kind = PeerResponse::Kind::NotOwner;
        } else if (request.kind == PeerRequest::Kind::Count) {
            response.kind = PeerResponse::Kind::Count;
            response.count = session->waitingJobs(request.queue);
        } else if (const auto state = session->stateOf(request.queue, request.job)) {
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
            done({result == AppendResult::Stored    ? PeerResponse::Kind::Stored
                  : result == AppendResult::NotDone ? PeerResponse::Kind::NotStored
                                                    : PeerResponse::Kind::NoResponse});
        });
    }

    Runtime &runtime;
    HttpClient &peers;
    Configuration configuration;
    bool hasConfiguration = false;
    std::map<std::int64_t, pools::Wave> waves;
    // For other entry hosts, while this process is the owner; one for each partition.
    std::vector<std::unique_ptr<GroupAppend>> peerAppends;
    CallerHandler callers;
    std::unique_ptr<LogFollower> operatorFollower;
    std::unique_ptr<LeadershipController> leadership;
    std::unique_ptr<OwnerSession> session;
    std::int64_t sessionEpoch = 0;
    std::int64_t supersededEpoch = 0;
    TimePoint ownerRespondedAt{};
    std::uint64_t failures = 0;  // callbacks that threw an exception
    bool isLeaving = false;
};

EntryProcess::EntryProcess(Runtime &runtime, HttpClient &peers)
    : state_(std::make_shared<State>(runtime, peers))
{
    state_->start();
}

EntryProcess::~EntryProcess()
{
    state_->session.reset();
    state_->leadership.reset();
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
    const TimePoint now = steadyNow();
    const bool isConnected = state_->operatorFollower->currentAsOf() + readinessTimeout >= now
                             || state_->ownerRespondedAt + readinessTimeout >= now;
    return state_->hasConfiguration && isConnected && !state_->isLeaving;
}

void EntryProcess::abandonOwnership()
{
    ++state_->failures;
    state_->abandonOwnership();
}

void EntryProcess::leave()
{
    state_->isLeaving = true;
    state_->leadership->leave();
}

std::string EntryProcess::metrics() const
{
    std::string text =
            fmt::format("poplar_configuration_version {}\npoplar_is_owner {}\n"
                        "poplar_callbacks_failed_total {}\n",
                        state_->configuration.version, state_->session ? 1 : 0, state_->failures);
    if (state_->session) {
        text += state_->session->metrics();
    }
    return text + state_->runtime.durations.prometheusText();
}

}  // namespace poplarstream::edge
