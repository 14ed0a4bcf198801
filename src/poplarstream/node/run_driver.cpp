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
// As for the control stream; run streams carry more records.
constexpr Offset snapshotRecords = 20'000;
constexpr Milliseconds shortestSnapshotPeriod{15 * 60 * 1000};
constexpr Milliseconds longestSnapshotPeriod{6 * 60 * 60 * 1000};
// Bytes of a snapshot for each remembered record id and each run (docs/CAPACITY.md).
constexpr std::size_t snapshotBytesPerRecord = 20;
constexpr std::size_t snapshotBytesPerRun = 150;
constexpr std::size_t snapshotBytesPerSecond = 100;

HttpResponse unavailable(std::string_view reason)
{
    return errorResponse(503, Verdict::NotRun, reason, {}, retryAfter);
}

// A live entry host of the zone, chosen at random so that one slow peer does not get all calls.
std::optional<EntryHostId> peerOf(ControlCore &core, const ZoneId &zone)
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

void passOn(ControlCore &core, const ZoneId &zone, RunCall &&call)
{
    const std::optional<EntryHostId> peer = peerOf(core, zone);
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

void take(RunDriver &driver, ControlCore &core, RunSubmission &&submission)
{
    const Configuration &configuration = core.configuration();
    const ZoneId home = homeZone(configuration, core.settings.zone, submission.tenant,
                                 submission.idempotencyKey);
    if (home != core.settings.zone) {
        passOn(core, home, std::move(submission));
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
                                  .answerBy = submission.answerBy,
                                  .reply = std::move(submission.reply)});
    driver.queued.emplace_back(std::move(accepted));
}

void take(RunDriver &, ControlCore &core, RunQuestion &&question)
{
    const auto zone = zoneOfRun(question.run);
    if (!zone) {
        question.reply(errorResponse(404, Verdict::NotRun, "not the id of a run", "run"));
        return;
    }
    if (*zone != core.settings.zone) {
        passOn(core, *zone, std::move(question));
        return;
    }
    if (!isServing(core)) {
        question.reply(unavailable("this entry host has not read the runs of its zone yet"));
        return;
    }
    const Run *run = findRun(core.runs.state, question.run);
    if (run != nullptr && run->accepted.tenant == question.tenant
        && run->stage == RunStage::HandedOver) {
        passOn(core, run->handedTo, std::move(question));
        return;
    }
    question.reply(runResponse(core.runs.state, question.run, question.tenant));
}

void take(RunDriver &driver, ControlCore &core, RunCancellation &&cancellation)
{
    const auto zone = zoneOfRun(cancellation.run);
    if (zone && *zone != core.settings.zone) {
        passOn(core, *zone, std::move(cancellation));
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

// Hands the calls that wait to the records that carry their entries. Entries keep their order.
void awaitRecords(RunDriver &driver, std::span<const RunRecord> records)
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
    std::vector<WorkerOrder> orders;
    for (const WorkerCommand &command : decision.commands) {
        orders.push_back({command, validUntilOf(decision, command)});
    }
    recordCommands(core.ownerState, decision.commands, now);
    recordDecision(core.ownerState, core.runs.state, decision, now);
    if (!orders.empty()) {
        core.ports.sendCommands(std::move(orders));
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
    std::vector<WorkerPoll> polls = takePolls(core.workers, input, {}, core.clock.now());
    if (!polls.empty()) {
        core.ports.poll(std::move(polls));
    }
}

Milliseconds snapshotPeriod(const RunsState &state)
{
    const std::size_t bytes = snapshotBytesPerRecord * state.recentRecordHashes.size()
                              + snapshotBytesPerRun * state.runs.size();
    const auto seconds = static_cast<std::int64_t>(bytes / snapshotBytesPerSecond);
    return std::clamp(Milliseconds{seconds * 1000}, shortestSnapshotPeriod, longestSnapshotPeriod);
}

void stepSnapshot(RunDriver &driver, ControlCore &core)
{
    const RunsState &state = core.runs.state;
    if (driver.snapshotAt == TimePoint{}) {
        driver.snapshotAt = state.now;
        driver.snapshotThrough = state.nextOffset;
    }
    const bool isDue = state.nextOffset >= driver.snapshotThrough + snapshotRecords
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

void takeCall(RunDriver &driver, ControlCore &core, RunCall &&call)
{
    std::visit([&](auto &request) { take(driver, core, std::move(request)); }, call);
}

void flush(RunDriver &driver, ControlCore &core)
{
    queueCancellations(driver, core);
    if (driver.queued.empty()) {
        return;
    }
    const std::vector<RunRecord> records = core.proposeEntries(driver.queued);
    driver.queued.clear();
    awaitRecords(driver, records);
}

void step(RunDriver &driver, ControlCore &core)
{
    const TimePoint now = core.clock.now();
    answerOverdue(driver.acceptances, now);
    if (!isServing(core)) {
        return;
    }
    if (now >= driver.nextStep && !core.isLeaving()) {
        driver.nextStep = now + stepPeriod;
        decide(driver, core);
        stepSnapshot(driver, core);
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
    answerReadBack(driver.acceptances, id, core.runs.state, applied);
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
    answerRefused(driver.acceptances, record, reason);
}

void releaseOwnership(RunDriver &driver, ControlCore &core)
{
    flush(driver, core);
    const RunEntry entry = endOfLease(core.settings.self);
    core.proposeEntries({&entry, 1});
}

}  // namespace poplarstream
