#include "poplarstream/node/control_duty.hpp"

#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <fmt/format.h>  // for format

#include "control_core.hpp"  // for ControlCore
#include "control_log.hpp"  // for logControlRecord
#include "poplarstream/fleet/queries.hpp"  // for dutyHolder, changeOutcome
#include "poplarstream/runs/queries.hpp"  // for hasAttempt
#include "publication_table.hpp"  // for PublicationTable
#include "run_driver.hpp"  // for RunDriver
#include "wave_driver.hpp"  // for WaveDriver

namespace poplarstream {

namespace {

constexpr Milliseconds tickPeriod{50};
// How long a publication waits for its outcome before it is reported as unknown.
constexpr Milliseconds publicationTimeout{10'000};
// How long a stopping process waits for the log to hold that it gave up its leases.
constexpr Milliseconds leaveTimeout{2'000};
// Without an answer of the log for this long, no run is accepted and nothing is proposed.
constexpr Milliseconds logSilence{8'000};
constexpr Milliseconds askStatePeriod{2'000};

}  // namespace

struct ControlDuty::State : std::enable_shared_from_this<ControlDuty::State>
{
    State(DutyThread &dutyThread, ControlSettings settings, ControlPorts ports)
        : thread(dutyThread)
        , core(std::move(settings), std::move(ports))
        , timer(dutyThread.context())
    {}

    void start()
    {
        core.ports.follow(core.fleet.name, 0);
        core.ports.follow(core.runs.name, 0);
        startedAt = core.clock.now();
        scheduleTick();
    }

    void scheduleTick()
    {
        timer.expires_after(tickPeriod);
        timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (error || !self) {
                return;
            }
            self->scheduleTick();
            self->onTick();
        });
    }

    void onTick()
    {
        const TimePoint now = core.clock.now();
        judgeLog(now);
        core.drivesWaves = mayActNow(waves, core);
        step(runs, core);
        flush(runs, core);
        step(waves, core);
        core.resend();
        settleFencedProposals();
        answerOverdue(publications, core.fleetState(), now);
        askForState(now);
        finishLeaving(now);
    }

    // -- inputs --

    void take(PlatformEvent &&event)
    {
        std::visit([this](auto &part) { onPlatform(std::move(part)); }, event);
    }

    void onPlatform(StreamPage &&event)
    {
        noteLogAnswer();
        std::optional<Offset> restart;
        if (event.stream == core.fleet.name) {
            restart =
                    receivePage(core.fleet, event, [this](const auto &logged, const auto &outcome) {
                        onControlRecord(logged, outcome);
                    });
            publishViews();
            logMissingConfiguration();
        } else if (event.stream == core.runs.name) {
            restart =
                    receivePage(core.runs, event, [this](const auto &logged, const auto &applied) {
                        onRunRecord(logged, applied);
                    });
        }
        if (restart) {
            core.ports.follow(event.stream, *restart);
        }
    }

    void onPlatform(StreamFault &&fault) { lastFault = std::move(fault.fault); }

    void onPlatform(AppendAnswer &&answer)
    {
        if (std::holds_alternative<Appended>(answer.outcome)) {
            noteLogAnswer();
            onAppended(core.outbox, answer.record);
            if (const auto arrival = core.pendingArrivals.find(answer.record);
                arrival != core.pendingArrivals.end()) {
                recordArrivalConfirmed(core.ownerState, arrival->second, core.clock.now());
                core.pendingArrivals.erase(arrival);
            }
        } else if (const auto *refused = std::get_if<AppendRefused>(&answer.outcome)) {
            core.pendingArrivals.erase(answer.record);
            lastFault = refused->reason;
            if (onAppendRefused(core.outbox, answer.record)) {
                neverAppended(answer.record, "the log refused the record");
            }
        } else {
            core.pendingArrivals.erase(answer.record);
            lastFault = std::get<AppendUnknown>(answer.outcome).reason;
            onAppendUnknown(core.outbox, answer.record);
            logEvent(events::appendUnknown,
                     {{"stream", streamOf(answer.record)}, {"record", answer.record.text()}});
        }
    }

    void onPlatform(HostsListed &&) { noteLogAnswer(); }

    void take(RunCall &&call)
    {
        takeCall(runs, core, std::move(call));
        // One append carries everything that arrived together.
        if (!flushPending) {
            flushPending = true;
            thread.post([weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->flushPending = false;
                    flush(self->runs, self->core);
                }
            });
        }
    }

    void take(WorkerEvent &&event)
    {
        const TimePoint now = core.clock.now();
        if (const auto *observation = std::get_if<TaskObservation>(&event)) {
            noteOwnZoneTask(*observation, now);
            return;
        }
        const auto &status = std::get<WorkerStatus>(event);
        logWorkerSilence(status);
        noteStatus(core.workers, status, now);
        for (const TaskObservation &task : status.tasks) {
            noteOwnZoneTask(task, now);
        }
    }

    // Tokens are unique within the stream of one zone only. An entry host also polls workers of
    // other zones, and a task there can have the token of a claim in this zone.
    void noteOwnZoneTask(const TaskObservation &task, TimePoint now)
    {
        if (hasAttempt(core.runs.state, task.task.run, task.task.token)) {
            recordTaskObservation(core.ownerState, task, now);
        }
    }

    void take(ConfigPublication &&publication)
    {
        if (!core.fleet.isReplaying() || !core.isLogReachable) {
            publication.reply({.result = PublicationResult::Refused,
                               .version = core.fleetState().version,
                               .reason = "the log cannot be reached, so nothing was published"});
            return;
        }
        const RecordId id = core.propose(std::move(publication.change));
        publications.byRecord[id] = {std::move(publication.reply),
                                     core.clock.now() + publicationTimeout};
    }

    void take(ControlQuery &&question) { question(view()); }

    void take(PeerView &&peers)
    {
        const bool hasChanged = peers.allLive.size() != core.peers.allLive.size()
                                || peers.leavingMinions != core.peers.leavingMinions
                                || peers.leavingHosts != core.peers.leavingHosts;
        core.peers = std::move(peers);
        if (hasChanged) {
            viewsChanged = true;
            publishViews();
        }
    }

    void take(DemandReport &&report) { waves.demands = std::move(report.demands); }

    void take(PeerState &&transfer)
    {
        if (transfer.stream == core.fleet.name) {
            auto state = decodeState(transfer.text);
            if (state && adopt(core.fleet, std::move(state).value())) {
                onAdopted(core.fleet.name, core.fleet.state.next);
                viewsChanged = true;
                publishViews();
            }
        } else if (transfer.stream == core.runs.name) {
            auto state = readState(transfer.text);
            if (state && adopt(core.runs, std::move(state).value())) {
                onAdopted(core.runs.name, core.runs.state.nextOffset);
            }
        }
    }

    void onAdopted(const std::string &stream, Offset next)
    {
        logEvent(events::stateFromPeer, {{"peer", stream}, {"through", fmt::format("{}", next)}});
        core.ports.follow(stream, next);
    }

    // Logged once for each silence of a worker.
    void logWorkerSilence(const WorkerStatus &status) const
    {
        const auto entry = core.workers.entries.find(status.host);
        const bool wasSilent = entry != core.workers.entries.end() && entry->second.unansweredSince;
        if (!status.hasAnswered && !wasSilent) {
            logEvent(events::workerSilent, {{"host", status.host.text()}, {"fault", status.fault}});
        }
    }

    // -- records --

    void onControlRecord(const Logged<ControlRecord> &logged, const ControlOutcome &outcome)
    {
        noteTime(logged);
        const RecordId &id = logged.record.header.id;
        if (onReadBack(core.outbox, id)) {
            forgetProposal(waves, id);
            if (runs.quarantineInFlight == id) {
                runs.quarantineInFlight.reset();
            }
            answerReadBack(publications, id, core.fleetState());
        }
        logControlRecord(core.fleetState(), logged, outcome);
        // Duty leases and snapshot parts change nothing that the views show.
        const bool isInternal = std::holds_alternative<LeaderLease>(logged.record.body)
                                || std::holds_alternative<SnapshotPart>(logged.record.body);
        viewsChanged = viewsChanged || (outcome.granted && !isInternal);
    }

    void onRunRecord(const Logged<RunRecord> &logged, const ApplyResult &applied)
    {
        noteTime(logged);
        onReadBack(core.outbox, logged.record.header.id);
        onApplied(runs, core, logged, applied);
    }

    template <class Record>
    void noteTime(const Logged<Record> &logged)
    {
        const TimePoint now = core.clock.now();
        const auto own = core.outbox.proposals.find(logged.record.header.id);
        if (own != core.outbox.proposals.end()) {
            observeOwnRecord(core.logClock, own->second.firstSent, now, logged.time);
        } else {
            observeRecord(core.logClock, now, logged.time);
        }
    }

    // -- proposals and publications --

    std::string streamOf(const RecordId &record) const
    {
        const auto found = core.outbox.proposals.find(record);
        return found != core.outbox.proposals.end() ? found->second.stream : std::string("other");
    }

    void neverAppended(const RecordId &record, std::string_view reason)
    {
        forgetProposal(waves, record);
        if (runs.quarantineInFlight == record) {
            runs.quarantineInFlight.reset();
        }
        onNeverAppended(runs, core, record, reason);
        answerRefused(publications, record, core.fleetState(), reason);
    }

    void settleFencedProposals()
    {
        std::map<std::string, TimePoint> readUntil;
        if (core.fleet.readUntil) {
            readUntil[core.fleet.name] = *core.fleet.readUntil;
        }
        if (core.runs.readUntil) {
            readUntil[core.runs.name] = *core.runs.readUntil;
        }
        for (const RecordId &record : collectFenced(core.outbox, readUntil)) {
            neverAppended(record, "the append was lost");
        }
    }

    // -- the log --

    void noteLogAnswer()
    {
        lastLogAnswer = core.clock.now();
        if (!core.isLogReachable) {
            core.isLogReachable = true;
            logEvent(events::logAvailable, {{"offset", fmt::format("{}", core.fleetState().next)}});
            notifyPeers();
        }
    }

    void judgeLog(TimePoint now)
    {
        if (core.isLogReachable && now - lastLogAnswer > logSilence) {
            core.isLogReachable = false;
            logEvent(events::logUnavailable, {{"fault", lastFault}});
            notifyPeers();
        }
    }

    void notifyPeers()
    {
        const auto &lost = core.fleetState().lostZones;
        core.ports.notifyPeers({lost.begin(), lost.end()}, core.isLogReachable);
    }

    // Asks a peer for the state of streams that the log could not give so far.
    void askForState(TimePoint now)
    {
        constexpr Milliseconds patience{3'000};
        if (now - startedAt < patience || now < nextAsk) {
            return;
        }
        nextAsk = now + askStatePeriod;
        if (!core.fleet.isReplaying()) {
            core.ports.requestState(core.fleet.name);
        }
        if (!core.runs.isReplaying()) {
            core.ports.requestState(core.runs.name);
        }
    }

    // -- views --

    bool isReady() const
    {
        return core.fleet.isReplaying() && core.fleetState().version > 0
               && core.life == ProcessState::Ready;
    }

    ControlView view() const
    {
        std::optional<Milliseconds> age;
        if (core.fleet.readUntil) {
            age = core.clock.now() - *core.fleet.readUntil;
        }
        const auto holder = dutyHolder(core.fleetState(), DutyId(fleetDuty),
                                       earliestLogTime(core.logClock, core.clock.now()));
        return {.fleet = core.fleetState(),
                .runs = core.runs.state,
                .peers = core.peers,
                .isReady = isReady(),
                .isLogReachable = core.isLogReachable,
                .age = age,
                .waveLeaseHolder = holder ? std::optional(holder->holder) : std::nullopt,
                .demands = waves.demands,
                .waveNotes = waves.notes,
                .pages = waves.pages,
                .logTime = core.latestLogTimeNow()};
    }

    void publishViews()
    {
        if (!viewsChanged || !core.fleet.isReplaying() || core.fleetState().version == 0) {
            return;
        }
        viewsChanged = false;
        publishServingView();
        publishDirectory();
        forgetUnknown(core.workers, core.fleetState());
        notifyPeers();
        if (core.advance(ProcessEvent::Published)) {
            logEvent(events::entryHostReady,
                     {{"config", fmt::format("{}", core.fleetState().version)},
                      {"offset", fmt::format("{}", core.fleetState().next)}});
        }
    }

    void publishServingView()
    {
        std::vector<ServingHost> hosts;
        for (const auto &[id, host] : core.fleetState().hosts) {
            const bool serves =
                    host.state == HostState::InService && !core.peers.leavingHosts.contains(id);
            hosts.push_back({host.config.get(), host.config->pool, serves});
        }
        const auto livePeers =
                static_cast<std::uint32_t>(std::max<std::size_t>(1, core.peers.allLive.size()));
        ServingView view =
                makeServingView(core.fleetState().version, core.fleetState().configuration, hosts,
                                core.settings.self, core.settings.zone, livePeers);
        view.leaving = core.peers.leavingMinions;
        core.ports.publish(std::make_shared<const ServingView>(std::move(view)));
    }

    void publishDirectory()
    {
        auto directory = std::make_shared<HostDirectory>();
        for (const auto &[id, host] : core.fleetState().hosts) {
            HostAddresses addresses;
            addresses.worker = {ipText(host.config->worker), host.config->worker.port};
            for (const Address minion : host.config->minions) {
                addresses.minions.push_back({ipText(minion), minion.port});
            }
            directory->emplace(id, std::move(addresses));
        }
        core.ports.setDirectory(std::move(directory));
    }

    void logMissingConfiguration()
    {
        if (core.fleet.readUntil && core.fleetState().version == 0 && !hasLoggedMissing) {
            hasLoggedMissing = true;
            logEvent(events::noConfiguration, {});
        }
    }

    // -- leaving --

    void beginLeaving(std::function<void()> done)
    {
        core.advance(ProcessEvent::Leave);
        whenLeft = std::move(done);
        leaveBy = core.clock.now() + leaveTimeout;
        if (core.isLogReachable && core.runs.isReplaying() && core.fleet.isReplaying()) {
            releaseOwnership(runs, core);
            releaseDuty(waves, core);
        }
    }

    void finishLeaving(TimePoint now)
    {
        if (whenLeft && (core.outbox.proposals.empty() || now >= leaveBy)) {
            core.advance(ProcessEvent::Left);
            std::exchange(whenLeft, nullptr)();
        }
    }

    DutyThread &thread;
    ControlCore core;
    RunDriver runs;
    WaveDriver waves;
    boost::asio::steady_timer timer;
    PublicationTable publications;
    TimePoint startedAt;
    TimePoint lastLogAnswer;
    TimePoint nextAsk;
    std::string lastFault;
    bool flushPending = false;
    bool viewsChanged = false;
    bool hasLoggedMissing = false;
    std::function<void()> whenLeft;
    TimePoint leaveBy;
};

ControlDuty::ControlDuty(DutyThread &thread, ControlSettings settings, ControlPorts ports)
    : state_(std::make_shared<State>(thread, std::move(settings), std::move(ports)))
{}

ControlDuty::~ControlDuty() = default;

void ControlDuty::start()
{
    state_->start();
}

void ControlDuty::handle(ControlInput &&input)
{
    std::visit([this](auto &part) { state_->take(std::move(part)); }, input);
}

void ControlDuty::leave(std::function<void()> done)
{
    state_->thread.post([state = state_, done = std::move(done)]() mutable {
        state->beginLeaving(std::move(done));
    });
}

}  // namespace poplarstream
