#include "run_driver.hpp"

#include <algorithm>  // for sort, unique, find, clamp

#include "control_log.hpp"  // for logRunEntry
#include "poplarstream/node/caller_request.hpp"  // for errorResponse
#include "poplarstream/runs/batch.hpp"  // for cancelEntries
#include "poplarstream/runs/decide.hpp"  // for decideRuns
#include "poplarstream/runs/placement.hpp"  // for isResponsible
#include "poplarstream/runs/queries.hpp"  // for findRun, liveOwners

namespace poplarstream {

namespace {

constexpr Milliseconds stepPeriod{200};
constexpr Milliseconds pollPeriod{500};
constexpr Milliseconds retryAfter{1'000};
constexpr std::size_t maxQueuedCalls = 4'096;
// Same rule as for the control stream, with a higher limit because run streams carry more records.
constexpr Offset recordsPerSnapshot = 20'000;
constexpr Milliseconds minSnapshotPeriod{15 * 60 * 1000};
constexpr Milliseconds maxSnapshotPeriod{6 * 60 * 60 * 1000};
// Snapshot size per remembered record id and per run (docs/CAPACITY.md).
constexpr std::size_t snapshotBytesPerRecord = 20;
constexpr std::size_t snapshotBytesPerRun = 150;
constexpr std::size_t snapshotBytesPerSecond = 100;

HttpResponse unavailable(std::string_view reason)
{
    return errorResponse(503, Verdict::NotRun, reason, {}, retryAfter);
}

// A random live entry host of the zone, so that one slow peer does not receive all calls.
std::optional<EntryHostId> randomPeerOf(ControlCore &core, const ZoneId &zone)
{
    std::vector<EntryHostId> peers;
    for (const EntryHostId &peer : core.peers.allLive) {
        const auto found = core.peers.zones.find(peer);
        if (found != core.peers.zones.end() && found->second == zone
            && peer != core.settings.self) {
            peers.push_back(peer);
        }
    }
    if (peers.empty()) {
        return std::nullopt;
    }
    return peers[core.random.below(peers.size())];
}

void forwardCall(ControlCore &core, const ZoneId &zone, RunCall &&call)
{
    const std::optional<EntryHostId> peer = randomPeerOf(core, zone);
    if (peer) {
        core.ports.forward(*peer, std::move(call));
        return;
    }
    std::visit(
            [](const auto &request) {
                request.reply(unavailable("no entry host of the run's zone can be reached"));
            },
            call);
}

bool isServing(const ControlCore &core)
{
    return core.runs.isReplaying() && core.runs.readUntil && core.fleetState().version > 0;
}

void handle(RunDriver &driver, ControlCore &core, RunSubmission &&submission)
{
    const Configuration &configuration = core.configuration();
    const ZoneId home = homeZone(configuration, core.settings.zone, submission.tenant,
                                 submission.idempotencyKey);
    if (home != core.settings.zone) {
        forwardCall(core, home, std::move(submission));
        return;
    }
    const ServiceConfig *service = configuration.services.find(submission.service);
    if (!isServing(core) || service == nullptr || core.isLeaving()) {
        submission.reply(unavailable("this entry host does not accept runs now"));
        return;
    }
    if (!core.isLogReachable) {
        submission.reply(unavailable("the log cannot be reached, so no run can be accepted"));
        return;
    }
    if (submission.payload.size() > maxRunPayloadBytes) {
        submission.reply(errorResponse(413, Verdict::NotRun,
                                       fmt::format("expected at most {} bytes", maxRunPayloadBytes),
                                       "payload"));
        return;
    }
    if (driver.queuedCalls.size() >= maxQueuedCalls) {
        submission.reply(unavailable("too many runs wait for the log"));
        return;
    }
    RunAccepted accepted = makeAcceptance(submission, *service, home, core.settings.incarnation,
                                          ++driver.acceptedCount);
    driver.queuedCalls.push_back({.run = accepted.run,
                                  .index = static_cast<std::uint32_t>(driver.queued.size()),
                                  .tenant = submission.tenant,
                                  .idempotencyKey = submission.idempotencyKey,
                                  .payloadHash = accepted.payloadHash,
                                  .respondBy = submission.respondBy,
                                  .reply = std::move(submission.reply)});
    driver.queued.emplace_back(std::move(accepted));
}

void handle(RunDriver &, ControlCore &core, RunQuery &&query)
{
    const auto zone = zoneOfRun(query.run);
    if (!zone) {
        query.reply(errorResponse(404, Verdict::NotRun, "not the id of a run", "run"));
        return;
    }
    if (*zone != core.settings.zone) {
        forwardCall(core, *zone, std::move(query));
        return;
    }
    if (!isServing(core)) {
        query.reply(unavailable("this entry host has not read the runs of its zone yet"));
        return;
    }
    const Run *run = findRun(core.runs.state, query.run);
    if (run != nullptr && run->accepted.tenant == query.tenant
        && run->stage == RunStage::HandedOver) {
        forwardCall(core, run->handedTo, std::move(query));
        return;
    }
    query.reply(runResponse(core.runs.state, query.run, query.tenant));
}

void handle(RunDriver &driver, ControlCore &core, RunCancellation &&cancellation)
{
    const auto zone = zoneOfRun(cancellation.run);
    if (zone && *zone != core.settings.zone) {
        forwardCall(core, *zone, std::move(cancellation));
        return;
    }
    if (!zone) {
        cancellation.reply(errorResponse(404, Verdict::NotRun, "not the id of a run", "run"));
        return;
    }
    if (!isServing(core)) {
        cancellation.reply(unavailable("this entry host has not read the runs of its zone yet"));
        return;
    }
    const Run *run = findRun(core.runs.state, cancellation.run);
    if (run == nullptr || run->accepted.tenant != cancellation.tenant) {
        cancellation.reply(runResponse(core.runs.state, cancellation.run, cancellation.tenant));
        return;
    }
    if (!isFinal(run->stage)) {
        driver.queuedCancellations.push_back(cancellation.run);
    }
    HttpResponse response = runResponse(core.runs.state, cancellation.run, cancellation.tenant);
    response.status = 202;
    cancellation.reply(std::move(response));
}

void queueCancellations(RunDriver &driver, ControlCore &core)
{
    for (RunEntry &entry : cancelEntries(core.runs.state, driver.queuedCancellations)) {
        driver.queued.push_back(std::move(entry));
    }
    driver.queuedCancellations.clear();
}

// Assigns each queued call to the record that carries its entry. Records keep the order of the
// entries.
void assignCallsToRecords(RunDriver &driver, std::span<const RunRecord> records)
{
    std::size_t first = 0;
    auto call = driver.queuedCalls.begin();
    for (const RunRecord &record : records) {
        const std::size_t end = first + record.entries.size();
        for (; call != driver.queuedCalls.end() && call->index < end; ++call) {
            call->index -= static_cast<std::uint32_t>(first);
            driver.acceptances.byRecord[record.header.id].push_back(std::move(*call));
        }
        first = end;
    }
    driver.queuedCalls.clear();
}

void proposeQuarantines(RunDriver &driver, ControlCore &core, const RunDecision &decision)
{
    for (const QuarantineProposal &proposal : decision.quarantines) {
        if (driver.quarantineInFlight) {
            return;
        }
        const auto host = core.fleetState().hosts.find(proposal.host);
        if (host != core.fleetState().hosts.end()
            && host->second.quarantined != proposal.isQuarantined) {
            driver.quarantineInFlight = core.propose(
                    WorkerQuarantine{proposal.host, proposal.isQuarantined, proposal.evidence});
        }
    }
}

void sendArrivals(ControlCore &core, const RunDecision &decision)
{
    for (const ArrivalProposal &arrival : decision.arrivals) {
        const RecordId id = nextRecordId(core.outbox);
        const RunRecord record{{id, core.settings.self}, {arrival.received}};
        const std::string stream = "runs-" + arrival.to.text();
        recordArrivalSent(core.ownerState, arrival.received.accepted.run, core.clock.now());
        core.ports.append(id, stream, encode(record));
        core.pendingArrivals[id] = arrival.received.accepted.run;
    }
}

void updateView(RunDriver &driver, const ControlCore &core)
{
    const FleetState &fleet = core.fleetState();
    if (driver.viewThrough == fleet.next) {
        refreshRunsView(driver.view, core.workers);
        return;
    }
    driver.view = makeRunsView(core.workers, fleet, core.settings.zone);
    driver.viewThrough = fleet.next;
}

void decide(RunDriver &driver, ControlCore &core)
{
    const TimePoint now = core.clock.now();
    updateView(driver, core);
    RunDecision decision = decideRuns(core.runs.state, driver.view, core.ownerState, driver.policy,
                                      now, core.random);
    if (core.isLogReachable) {
        for (RunEntry &entry : decision.entries) {
            driver.queued.push_back(std::move(entry));
        }
        sendArrivals(core, decision);
        proposeQuarantines(driver, core, decision);
    }
    std::vector<TimedWorkerCommand> commands;
    for (const WorkerCommand &command : decision.commands) {
        commands.push_back({command, validUntilOf(decision, command)});
    }
    recordCommands(core.ownerState, decision.commands, now);
    recordDecision(core.ownerState, core.runs.state, decision, now);
    if (!commands.empty()) {
        core.ports.sendCommands(std::move(commands));
    }
}

std::vector<HostId> claimedWorkers(const ControlCore &core)
{
    std::vector<HostId> hosts;
    for (const std::uint64_t ordinal : core.runs.state.active) {
        const Run &run = core.runs.state.runs.at(ordinal);
        if (run.claim && run.claim->owner == core.settings.self) {
            hosts.push_back(run.claim->worker);
        }
    }
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
    return hosts;
}

void pollWorkers(ControlCore &core)
{
    const auto &hosts = core.fleetState().hosts;
    const auto inZone = std::count_if(hosts.begin(), hosts.end(), [&](const auto &entry) {
        return entry.second.config->zone == core.settings.zone;
    });
    const PollInput input{.fleet = core.fleetState(),
                          .zone = core.settings.zone,
                          .self = core.settings.self,
                          .zonePeers = core.peers.zoneLive,
                          .claimed = claimedWorkers(core),
                          .zoneWorkers = static_cast<std::size_t>(inZone),
                          .drivesWaves = core.drivesWaves};
    std::vector<WorkerPoll> polls = collectDuePolls(core.workers, input, {}, core.clock.now());
    if (!polls.empty()) {
        core.ports.poll(std::move(polls));
    }
}

Milliseconds snapshotPeriod(const RunsState &state)
{
    const std::size_t bytes = snapshotBytesPerRecord * state.recentRecordHashes.size()
                              + snapshotBytesPerRun * state.runs.size();
    const auto seconds = static_cast<std::int64_t>(bytes / snapshotBytesPerSecond);
    return std::clamp(Milliseconds{seconds * 1000}, minSnapshotPeriod, maxSnapshotPeriod);
}

void writeSnapshotIfDue(RunDriver &driver, ControlCore &core)
{
    const RunsState &state = core.runs.state;
    if (driver.snapshotAt == TimePoint{}) {
        driver.snapshotAt = state.now;
        driver.snapshotThrough = state.nextOffset;
    }
    const bool isDue = state.nextOffset >= driver.snapshotThrough + recordsPerSnapshot
                       || (state.now - driver.snapshotAt >= snapshotPeriod(state)
                           && state.nextOffset > driver.snapshotThrough);
    const std::vector<EntryHostId> owners = liveOwners(state);
    if (!isDue || !driver.snapshotProposals.empty() || owners.empty()
        || !isResponsible(owners, core.settings.self, RunId("snapshot"), Milliseconds{0},
                          driver.policy.ownerDelay)) {
        return;
    }
    const std::vector<SnapshotPart> parts = snapshotParts(state, nextRecordId(core.outbox));
    for (const SnapshotPart &part : parts) {
        const RunEntry entry = part;
        for (const RunRecord &record : core.proposeEntries({&entry, 1})) {
            driver.snapshotProposals.push_back(record.header.id);
        }
    }
    logEvent(events::snapshotWritten, {{"stream", core.runs.name},
                                       {"through", fmt::format("{}", state.nextOffset)},
                                       {"parts", fmt::format("{}", parts.size())}});
    driver.snapshotThrough = state.nextOffset;
    driver.snapshotAt = state.now;
}

}  // namespace

void handleCall(RunDriver &driver, ControlCore &core, RunCall &&call)
{
    std::visit([&](auto &request) { handle(driver, core, std::move(request)); }, call);
}

void flush(RunDriver &driver, ControlCore &core)
{
    queueCancellations(driver, core);
    if (driver.queued.empty()) {
        return;
    }
    const std::vector<RunRecord> records = core.proposeEntries(driver.queued);
    driver.queued.clear();
    assignCallsToRecords(driver, records);
}

void step(RunDriver &driver, ControlCore &core)
{
    const TimePoint now = core.clock.now();
    respondOverdue(driver.acceptances, now);
    if (!isServing(core)) {
        return;
    }
    if (now >= driver.nextStep && !core.isLeaving()) {
        driver.nextStep = now + stepPeriod;
        decide(driver, core);
        writeSnapshotIfDue(driver, core);
    }
    if (now >= driver.nextPoll) {
        driver.nextPoll = now + pollPeriod;
        pollWorkers(core);
    }
}

void onApplied(RunDriver &driver, ControlCore &core, const Logged<RunRecord> &logged,
               const ApplyResult &applied)
{
    const RecordId &id = logged.record.header.id;
    recordReadBack(core.ownerState, core.runs.state, logged, applied, core.clock.now());
    std::erase(driver.snapshotProposals, id);
    if (logged.record.header.writer != core.settings.self || applied.isDuplicate) {
        return;
    }
    respondReadBack(driver.acceptances, id, core.runs.state, applied);
    for (std::uint32_t i = 0; i < logged.record.entries.size(); ++i) {
        if (applied.isGranted(i)) {
            logRunEntry(core.runs.state, logged.record.entries[i], {logged.offset, i});
        }
    }
}

void onNeverAppended(RunDriver &driver, ControlCore &core, const RecordId &record,
                     std::string_view reason)
{
    settle(core.ownerState.proposals, record);
    std::erase(driver.snapshotProposals, record);
    respondRefused(driver.acceptances, record, reason);
}

void releaseOwnership(RunDriver &driver, ControlCore &core)
{
    flush(driver, core);
    const RunEntry entry = endOfLease(core.settings.self);
    core.proposeEntries({&entry, 1});
}

}  // namespace poplarstream
