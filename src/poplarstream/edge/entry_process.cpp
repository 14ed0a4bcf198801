#include "poplarstream/edge/entry_process.hpp"

#include <fmt/format.h>  // for format

#include "poplarstream/edge/caller_duty.hpp"  // for CallerDuty
#include "poplarstream/edge/group_append.hpp"  // for GroupAppend
#include "poplarstream/edge/leadership_duty.hpp"  // for LeadershipDuty
#include "poplarstream/edge/log_follower.hpp"  // for LogFollower
#include "poplarstream/edge/owner_session.hpp"  // for OwnerSession
#include "poplarstream/telemetry/event_kinds.hpp"  // for configurationInForce

namespace poplarstream::edge {

namespace {

// Without news from the store for this long, and without an owner that answers, callers are better
// served elsewhere.
constexpr Milliseconds contactAge{3000};
// Of appends for other entry hosts, which wait 1 s for the answer.
constexpr Milliseconds storeForOthersDeadline{800};

}  // namespace

struct EntryProcess::State : std::enable_shared_from_this<EntryProcess::State>
{
    State(Runtime &owner, HttpClient &client)
        : runtime(owner)
        , peers(client)
        , appends(owner.store, storeForOthersDeadline)
        , callers(owner, {[this] { return hasConfiguration ? &configuration : nullptr; },
                          [this](const PeerQuestion &question, Milliseconds deadline,
                                 std::function<void(PeerReply)> done) {
                              askOwner(question, deadline, std::move(done));
                          }})
    {}

    void start()
    {
        FollowerEvents events;
        events.snapshot = [this](const std::vector<StoredRecord> &records, std::int64_t) {
            takeOperator(records);
        };
        events.records = events.snapshot;
        operatorFollower = std::make_unique<LogFollower>(runtime, Log::Operator, FollowerSettings{},
                                                         std::move(events));
        leadership = std::make_unique<LeadershipDuty>(runtime,
                                                      LeadershipEvents{[weak = weak_from_this()] {
                                                          if (const auto self = weak.lock()) {
                                                              self->takeOwnership();
                                                          }
                                                      }});
    }

    void takeOperator(const std::vector<StoredRecord> &records)
    {
        for (const StoredRecord &record : records) {
            if (!record.value) {
                continue;
            }
            if (runtime.decode.isConfiguration(record.key)) {
                takeConfiguration(record);
            } else if (runtime.decode.isWave(record.key)) {
                applyWave(record);
            }
        }
    }

    void takeConfiguration(const StoredRecord &record)
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

    // Begins or ends the owner's work after a change of the ownership log.
    void takeOwnership()
    {
        if (!leadership) {
            return;
        }
        const ownership::Leadership &view = leadership->leadership();
        const bool isOwner = ownership::isOwner(view) && !isSuperseded(view.last->epoch);
        if (session && (!isOwner || sessionEpoch != view.last->epoch)) {
            logEvent(events::ownershipLost, {{"epoch", fmt::to_string(sessionEpoch)}});
            // The session may be in a call that led here.
            retire(std::move(session));
        }
        if (isOwner && !session) {
            beginSession(view.last->epoch);
        }
    }

    bool isSuperseded(std::int64_t epoch) const { return epoch <= supersededEpoch; }

    void retire(std::unique_ptr<OwnerSession> old)
    {
        const std::shared_ptr<OwnerSession> kept = std::move(old);
        kept->close();
        callAfter(runtime, Milliseconds{0}, [kept] {});
    }

    void beginSession(std::int64_t epoch)
    {
        sessionEpoch = epoch;
        Inheritance inheritance;
        inheritance.epoch = epoch;
        inheritance.isHandover =
                leadership->hasPredecessorResigned() || !leadership->hasPredecessor();
        inheritance.recentMachineCommands = leadership->recentMachineCommands();
        OwnerSessionHooks hooks;
        hooks.isInOffice = [this] {
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
            takeOwnership();
        };
        session = std::make_unique<OwnerSession>(runtime, inheritance, std::move(hooks));
        if (hasConfiguration) {
            session->configure(configuration);
        }
        for (const auto &[number, wave] : waves) {
            session->applyWave(wave);
        }
    }

    void askOwner(const PeerQuestion &question, Milliseconds deadline,
                  std::function<void(PeerReply)> done)
    {
        const auto &last = leadership->leadership().last;
        if (session) {
            answer(question, std::move(done));
            return;
        }
        const auto address = last ? endpointFromText(last->address) : std::nullopt;
        if (!address || *address == runtime.settings.control) {
            done({PeerReply::Kind::NotOwner});
            return;
        }
        askPeer(peers, *address, question, deadline,
                [weak = weak_from_this(), done = std::move(done)](const PeerReply &reply) {
                    const auto self = weak.lock();
                    if (self && reply.kind != PeerReply::Kind::NoAnswer
                        && reply.kind != PeerReply::Kind::NotOwner) {
                        self->ownerAnsweredAt = steadyNow();
                    }
                    done(reply);
                });
    }

    // Answers as the owner.
    void answer(const PeerQuestion &question, std::function<void(PeerReply)> done)
    {
        if (!session || !session->isLoaded()) {
            done({PeerReply::Kind::NotOwner});
            return;
        }
        if (question.kind == PeerQuestion::Kind::Store) {
            storeFor(question, std::move(done));
            return;
        }
        PeerReply reply;
        if (question.kind == PeerQuestion::Kind::Count && !session->isCurrent(steadyNow())) {
            reply.kind = PeerReply::Kind::NotOwner;
        } else if (question.kind == PeerQuestion::Kind::Count) {
            reply.kind = PeerReply::Kind::Count;
            reply.count = session->waitingJobs(question.queue);
        } else if (const auto state = session->stateOf(question.queue, question.job)) {
            reply.kind = PeerReply::Kind::State;
            reply.state = *state;
        } else {
            reply.kind = session->isCurrent(steadyNow()) ? PeerReply::Kind::UnknownJob
                                                         : PeerReply::Kind::NotOwner;
        }
        done(reply);
    }

    void storeFor(const PeerQuestion &question, std::function<void(PeerReply)> done)
    {
        appends.append(question.records, [done = std::move(done)](const AppendOutcome &outcome) {
            const AppendResult result = outcome.result;
            done({result == AppendResult::Stored    ? PeerReply::Kind::Stored
                  : result == AppendResult::NotDone ? PeerReply::Kind::NotStored
                                                    : PeerReply::Kind::NoAnswer});
        });
    }

    Runtime &runtime;
    HttpClient &peers;
    Configuration configuration;
    bool hasConfiguration = false;
    std::map<std::int64_t, pools::Wave> waves;
    GroupAppend appends;  // for other entry hosts, while this one owns the jobs
    CallerDuty callers;
    std::unique_ptr<LogFollower> operatorFollower;
    std::unique_ptr<LeadershipDuty> leadership;
    std::unique_ptr<OwnerSession> session;
    std::int64_t sessionEpoch = 0;
    std::int64_t supersededEpoch = 0;
    TimePoint ownerAnsweredAt{};
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

void EntryProcess::take(const Call &call, const Reply &reply)
{
    state_->callers.take(call, reply);
}

void EntryProcess::takePeer(const HttpRequest &request, const HttpRespond &respond)
{
    const std::optional<PeerQuestion> question = questionFrom(request);
    if (!question) {
        respond(jsonResponse(404, "{}"));
        return;
    }
    state_->answer(*question, [respond](const PeerReply &reply) { respond(responseFor(reply)); });
}

bool EntryProcess::isReady() const
{
    const TimePoint now = steadyNow();
    const bool isInContact = state_->operatorFollower->currentAsOf() + contactAge >= now
                             || state_->ownerAnsweredAt + contactAge >= now;
    return state_->hasConfiguration && isInContact && !state_->isLeaving;
}

void EntryProcess::leave()
{
    state_->isLeaving = true;
    state_->leadership->leave();
}

std::string EntryProcess::metrics() const
{
    std::string text = fmt::format("poplar_configuration_version {}\npoplar_is_owner {}\n",
                                   state_->configuration.version, state_->session ? 1 : 0);
    if (state_->session) {
        text += state_->session->metrics();
    }
    return text + state_->runtime.durations.prometheusText();
}

}  // namespace poplarstream::edge
