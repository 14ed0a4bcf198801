#include "poplarstream/node/control_duty.hpp"

#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <fmt/format.h>  // for format

#include "control_core.hpp"  // for ControlCore
#include "control_log.hpp"  // for logControlRecord
#include "poplarstream/fleet/queries.hpp"  // for leaseHolder, changeOutcome
#include "poplarstream/runs/queries.hpp"  // for hasAttempt
#include "publication_table.hpp"  // for PublicationTable
#include "run_driver.hpp"  // for RunDriver
#include "wave_driver.hpp"  // for WaveDriver

namespace poplarstream {

namespace {

constexpr Milliseconds tickPeriod{50};
// A publication without an outcome after this time is reported as unknown.
constexpr Milliseconds publicationTimeout{10'000};
// How long a leaving process waits for its lease releases to be read back from the log.
constexpr Milliseconds leaveTimeout{2'000};
// The log counts as unreachable after this time without a response; no run is accepted and nothing
// is proposed until it responds again.
constexpr Milliseconds logResponseTimeout{8'000};
constexpr Milliseconds stateRequestPeriod{2'000};

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
        checkLogReachability(now);
        core.drivesWaves = mayActNow(waves, core);
        step(runs, core);
        flush(runs, core);
        step(waves, core);
        core.resend();
        failFencedProposals();
        replyOverdue(publications, core.fleetState(), now);
        requestMissingState(now);
        finishLeaving(now);
    }

    // -- inputs --

    void handleInput(PlatformEvent &&event)
    {
        std::visit([this](auto &part) { onPlatform(std::move(part)); }, event);
    }

    void onPlatform(StreamPage &&event)
    {
        recordLogResponse();
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

    void onPlatform(StreamError &&fault) { lastFault = std::move(fault.fault); }

    void onPlatform(AppendResponse &&answer)
    {
        if (std::holds_alternative<Appended>(answer.outcome)) {
            recordLogResponse();
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
                handleNeverAppended(answer.record, "the log refused the record");
            }
        } else {
            core.pendingArrivals.erase(answer.record);
            lastFault = std::get<AppendUnknown>(answer.outcome).reason;
            onAppendUnknown(core.outbox, answer.record);
            logEvent(events::appendUnknown,
                     {{"stream", streamOf(answer.record)}, {"record", answer.record.text()}});
        }
    }

    void onPlatform(HostsListed &&) { recordLogResponse(); }

    void handleInput(RunCall &&call)
    {
        handleCall(runs, core, std::move(call));
        // Batches the calls that arrive together into one append.
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

    void handleInput(WorkerEvent &&event)
    {
        const TimePoint now = core.clock.now();
        if (const auto *observation = std::get_if<TaskObservation>(&event)) {
            recordOwnZoneTask(*observation, now);
            return;
        }
        const auto &status = std::get<WorkerStatus>(event);
        logUnresponsiveWorker(status);
        recordStatus(core.workers, status, now);
        for (const TaskObservation &task : status.tasks) {
            recordOwnZoneTask(task, now);
        }
    }

    // Ignores tasks of other zones. Fencing tokens are unique only within the stream of one zone,
    // and a task on a polled worker of another zone can have the same token as a claim in this
    // zone.
    void recordOwnZoneTask(const TaskObservation &task, TimePoint now)
    {
        if (hasAttempt(core.runs.state, task.task.run, task.task.token)) {
            recordTaskObservation(core.ownerState, task, now);
        }
    }

    void handleInput(ConfigPublication &&publication)
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

    void handleInput(ControlQuery &&query) { query(view()); }

    void handleInput(PeerView &&peers)
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

    void handleInput(DemandReport &&report) { waves.demands = std::move(report.demands); }

    void handleInput(PeerState &&transfer)
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

    // Logs only the first failed poll in a row.
    void logUnresponsiveWorker(const WorkerStatus &status) const
    {
        const auto entry = core.workers.entries.find(status.host);
        const bool wasUnresponsive =
                entry != core.workers.entries.end() && entry->second.unansweredSince;
        if (!status.hasResponded && !wasUnresponsive) {
            logEvent(events::workerSilent, {{"host", status.host.text()}, {"fault", status.fault}});
        }
    }

    // -- records --

    void onControlRecord(const Logged<ControlRecord> &logged, const ControlOutcome &outcome)
    {
        recordLogTime(logged);
        const RecordId &id = logged.record.header.id;
        if (onReadBack(core.outbox, id)) {
            forgetProposal(waves, id);
            if (runs.quarantineInFlight == id) {
                runs.quarantineInFlight.reset();
            }
            replyReadBack(publications, id, core.fleetState());
        }
        logControlRecord(core.fleetState(), logged, outcome);
        // The views show neither leader leases nor snapshot parts.
        const bool isInternal = std::holds_alternative<LeaderLease>(logged.record.body)
                                || std::holds_alternative<SnapshotPart>(logged.record.body);
        viewsChanged = viewsChanged || (outcome.granted && !isInternal);
    }

    void onRunRecord(const Logged<RunRecord> &logged, const ApplyResult &applied)
    {
        recordLogTime(logged);
        onReadBack(core.outbox, logged.record.header.id);
        onApplied(runs, core, logged, applied);
    }

    template <class Record>
    void recordLogTime(const Logged<Record> &logged)
    {
        const TimePoint now = core.clock.now();
        const auto proposal = core.outbox.proposals.find(logged.record.header.id);
        if (proposal != core.outbox.proposals.end()) {
            observeOwnRecord(core.logClock, proposal->second.firstSent, now, logged.time);
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

    void handleNeverAppended(const RecordId &record, std::string_view reason)
    {
        forgetProposal(waves, record);
        if (runs.quarantineInFlight == record) {
            runs.quarantineInFlight.reset();
        }
        onNeverAppended(runs, core, record, reason);
        replyRefused(publications, record, core.fleetState(), reason);
    }

    void failFencedProposals()
    {
        std::map<std::string, TimePoint> readUntil;
        if (core.fleet.readUntil) {
            readUntil[core.fleet.name] = *core.fleet.readUntil;
        }
        if (core.runs.readUntil) {
            readUntil[core.runs.name] = *core.runs.readUntil;
        }
        for (const RecordId &record : collectFenced(core.outbox, readUntil)) {
            handleNeverAppended(record, "the append was lost");
        }
    }

    // -- the log --

    void recordLogResponse()
    {
        lastLogResponse = core.clock.now();
        if (!core.isLogReachable) {
            core.isLogReachable = true;
            logEvent(events::logAvailable, {{"offset", fmt::format("{}", core.fleetState().next)}});
            notifyPeers();
        }
    }

    void checkLogReachability(TimePoint now)
    {
        if (core.isLogReachable && now - lastLogResponse > logResponseTimeout) {
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

    // Requests from a peer the state of each stream that has not been read from the log.
    void requestMissingState(TimePoint now)
    {
        constexpr Milliseconds firstRequestDelay{3'000};
        if (now - startedAt < firstRequestDelay || now < nextStateRequest) {
            return;
        }
        nextStateRequest = now + stateRequestPeriod;
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
               && core.processState == ProcessState::Ready;
    }

    ControlView view() const
    {
        std::optional<Milliseconds> age;
        if (core.fleet.readUntil) {
            age = core.clock.now() - *core.fleet.readUntil;
        }
        const auto holder = leaseHolder(core.fleetState(), DutyId(fleetLeaseName),
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
        removeUnknownHosts(core.workers, core.fleetState());
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
            const bool isServing =
                    host.state == HostState::InService && !core.peers.leavingHosts.contains(id);
            hosts.push_back({host.config.get(), host.config->pool, isServing});
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
        if (core.fleet.readUntil && core.fleetState().version == 0
            && !hasLoggedMissingConfiguration) {
            hasLoggedMissingConfiguration = true;
            logEvent(events::noConfiguration, {});
        }
    }

    // -- leaving --

    void beginLeaving(std::function<void()> done)
    {
        core.advance(ProcessEvent::Leave);
        whenLeft = std::move(done);
        leaveDeadline = core.clock.now() + leaveTimeout;
        if (core.isLogReachable && core.runs.isReplaying() && core.fleet.isReplaying()) {
            releaseOwnership(runs, core);
            releaseFleetLease(waves, core);
        }
    }

    void finishLeaving(TimePoint now)
    {
        if (whenLeft && (core.outbox.proposals.empty() || now >= leaveDeadline)) {
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
    TimePoint lastLogResponse;
    TimePoint nextStateRequest;
    std::string lastFault;
    bool flushPending = false;
    bool viewsChanged = false;
    bool hasLoggedMissingConfiguration = false;
    std::function<void()> whenLeft;
    TimePoint leaveDeadline;
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
    std::visit([this](auto &part) { state_->handleInput(std::move(part)); }, input);
}

void ControlDuty::leave(std::function<void()> done)
{
    state_->thread.post([state = state_, done = std::move(done)]() mutable {
        state->beginLeaving(std::move(done));
    });
}

}  // namespace poplarstream
