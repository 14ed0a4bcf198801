#include "wave_driver.hpp"

#include <algorithm>  // for any_of, clamp

#include "poplarstream/fleet/queries.hpp"  // for leaseHolder
#include "poplarstream/maintenance/wave_step.hpp"  // for stepWaves
#include "poplarstream/membership/peer_queries.hpp"  // for rendezvousRank

namespace poplarstream {

namespace {

constexpr Milliseconds stepPeriod{500};  // for the fleet lease and the lost zones
// Absent hosts are polled once per second, so more frequent steps over all hosts would see nothing
// new. While nothing is in progress a step can only start new work, which may wait longer.
constexpr Milliseconds fleetStepPeriod{1'000};
constexpr Milliseconds idleFleetStepPeriod{2'000};
constexpr Milliseconds healthPeriod{2'000};
// A snapshot of the control stream is written after this many records or this much time. A starting
// process then has only seconds of log to replay, and the snapshot is always far younger than
// the log retention.
constexpr Offset recordsPerSnapshot = 5'000;
constexpr Milliseconds minSnapshotPeriod{15 * 60 * 1000};
constexpr Milliseconds maxSnapshotPeriod{6 * 60 * 60 * 1000};
// Every entry host reads every snapshot, so larger snapshots are written less often. A snapshot
// takes 60 kB plus 450 bytes per host (docs/CAPACITY.md); the budget is 100 of the 2,000 bytes per
// second for control.
constexpr std::int64_t snapshotBaseBytes = 60'000;
constexpr std::int64_t snapshotBytesPerHost = 450;
constexpr std::int64_t snapshotBytesPerSecond = 100;
constexpr std::size_t maxPages = 64;

maintenance::LeaseView leaseView(const ControlCore &core)
{
    const auto found = core.fleetState().leases.find(DutyId(fleetLeaseName));
    if (found == core.fleetState().leases.end()) {
        return {};
    }
    return {found->second.holder, found->second.expires};
}

HostId hostOf(const ControlBody &body)
{
    if (const auto *request = std::get_if<AbsenceRequest>(&body)) {
        return request->host;
    }
    if (const auto *progress = std::get_if<AbsenceProgress>(&body)) {
        return progress->host;
    }
    if (const auto *move = std::get_if<HostMove>(&body)) {
        return move->host;
    }
    if (const auto *health = std::get_if<HostHealth>(&body)) {
        return health->host;
    }
    return {};
}

PoolId targetOf(const ControlBody &body)
{
    if (const auto *request = std::get_if<AbsenceRequest>(&body)) {
        return request->target;
    }
    if (const auto *move = std::get_if<HostMove>(&body)) {
        return move->to;
    }
    return {};
}

void updateLease(WaveDriver &driver, ControlCore &core)
{
    const std::vector<EntryHostId> &live = core.peers.allLive;
    const maintenance::LeaseInput input{
            .duty = DutyId(fleetLeaseName),
            .self = core.settings.self,
            .lease = leaseView(core),
            .rank = membership::rendezvousRank(fleetLeaseName, live, core.settings.self),
            .isLeaving = core.isLeaving(),
            .isInFlight = driver.leaseProposal.has_value(),
            .now = core.latestLogTimeNow()};
    if (const auto lease = maintenance::decideLeaderLease(input, driver.leasePolicy)) {
        driver.leaseProposal = core.propose(*lease);
    }
}

// Local time after which a command under the current lease must not be sent.
TimePoint commandDeadline(const WaveDriver &driver, const ControlCore &core)
{
    const maintenance::LeaseView lease = leaseView(core);
    const Milliseconds left = lease.until - driver.leasePolicy.margin - core.latestLogTimeNow();
    return core.clock.now() + left;
}

void proposeForHosts(WaveDriver &driver, ControlCore &core, std::vector<ControlBody> bodies)
{
    for (ControlBody &body : bodies) {
        const maintenance::InFlight entry{hostOf(body), targetOf(body)};
        driver.inFlight[core.propose(std::move(body))] = entry;
    }
}

void updateView(WaveDriver &driver, const ControlCore &core)
{
    const FleetState &fleet = core.fleetState();
    if (driver.viewThrough == fleet.next) {
        setDemands(driver.view, driver.demands);
        return;
    }
    driver.view = makeWaveView(fleet, driver.demands, core.settings.wavePolicy);
    driver.viewThrough = fleet.next;
}

struct StepInputs
{
    std::vector<maintenance::HostObservation> observations;
    std::vector<maintenance::InFlight> inFlight;
    TimePoint now;
};

StepInputs stepInputs(const WaveDriver &driver, const ControlCore &core)
{
    StepInputs inputs;
    inputs.now = core.latestLogTimeNow();
    inputs.observations =
            makeObservations(core.workers, core.fleetState(), inputs.now - core.clock.now());
    for (const auto &[record, entry] : driver.inFlight) {
        inputs.inFlight.push_back(entry);
    }
    return inputs;
}

void sendCommands(const WaveDriver &driver, ControlCore &core,
                  std::span<const maintenance::HostCommand> commands)
{
    std::vector<TimedWorkerCommand> timedCommands;
    const TimePoint validUntil = commandDeadline(driver, core);
    for (const maintenance::HostCommand &command : commands) {
        // Probes are polls, which the worker table schedules itself.
        if (command.kind != maintenance::CommandKind::Probe) {
            timedCommands.push_back({command, validUntil});
        }
    }
    if (!timedCommands.empty()) {
        core.ports.sendCommands(std::move(timedCommands));
    }
}

void stepFleet(WaveDriver &driver, ControlCore &core)
{
    updateView(driver, core);
    const StepInputs inputs = stepInputs(driver, core);
    const bool holdsLease = mayActNow(driver, core);
    maintenance::StepOutput output = maintenance::stepWaves({.fleet = driver.view,
                                                             .observations = inputs.observations,
                                                             .inFlight = inputs.inFlight,
                                                             .holdsLease = holdsLease,
                                                             .isLogAvailable = core.isLogReachable,
                                                             .now = inputs.now});
    if (!holdsLease) {
        return;
    }
    const bool isIdle =
            output.proposals.empty() && output.commands.empty() && driver.inFlight.empty();
    driver.nextFleetStep = core.clock.now() + (isIdle ? idleFleetStepPeriod : fleetStepPeriod);
    proposeForHosts(driver, core, std::move(output.proposals));
    sendCommands(driver, core, output.commands);
    driver.notes = std::move(output.notes);
    for (maintenance::Page &page : output.pages) {
        const bool isKnown = std::any_of(driver.pages.begin(), driver.pages.end(),
                                         [&](const auto &known) { return known.key == page.key; });
        if (!isKnown && driver.pages.size() < maxPages) {
            logEvent(events::hostNotBack, {{"page", page.text}});
            driver.pages.push_back(std::move(page));
        }
    }
}

void logLeaseChange(WaveDriver &driver, bool holdsLease)
{
    if (std::exchange(driver.hadLease, holdsLease) != holdsLease) {
        logEvent(holdsLease ? events::dutyAcquired : events::dutyLost, {{"duty", fleetLeaseName}});
    }
}

void logWaves(WaveDriver &driver, const ControlCore &core)
{
    for (const auto &[id, record] : core.fleetState().waves) {
        std::size_t &logged = driver.loggedDone[id];
        if (record.done.size() != logged) {
            logged = record.done.size();
            logEvent(events::waveProgress,
                     {{"wave", id.text()}, {"done", fmt::format("{}", logged)}});
        }
    }
}

// Whether a step could report a host as failed or recovered, which needs a host that did not
// respond or is not in service. Otherwise the step over all hosts of the fleet is skipped.
bool mayReportHealth(const ControlCore &core)
{
    const auto &entries = core.workers.entries;
    const auto &hosts = core.fleetState().hosts;
    return std::any_of(entries.begin(), entries.end(), [&](const auto &entry) {
        const auto host = hosts.find(entry.first);
        return entry.second.unansweredSince
               || (host != hosts.end()
                   && (host->second.absence || host->second.state != HostState::InService));
    });
}

// Entry hosts without the fleet lease report failed hosts of their own share as well.
void reportHealth(WaveDriver &driver, ControlCore &core)
{
    updateView(driver, core);
    const StepInputs inputs = stepInputs(driver, core);
    maintenance::StepOutput output = maintenance::stepWaves({.fleet = driver.view,
                                                             .observations = inputs.observations,
                                                             .inFlight = inputs.inFlight,
                                                             .holdsLease = true,
                                                             .isLogAvailable = true,
                                                             .now = inputs.now});
    const PollInput watch{.fleet = core.fleetState(),
                          .zone = core.settings.zone,
                          .self = core.settings.self,
                          .zonePeers = core.peers.zoneLive};
    std::erase_if(output.proposals, [&](const ControlBody &body) {
        const auto *health = std::get_if<HostHealth>(&body);
        if (health == nullptr) {
            return true;
        }
        const FleetHost &host = core.fleetState().hosts.at(health->host);
        return !isInOwnShare(watch, health->host, host.config->zone);
    });
    proposeForHosts(driver, core, std::move(output.proposals));
}

void reportZoneChanges(WaveDriver &driver, ControlCore &core)
{
    for (const membership::ZoneChange &change : core.peers.zoneChanges) {
        const bool isProposed =
                std::any_of(driver.zoneProposals.begin(), driver.zoneProposals.end(),
                            [&](const auto &entry) { return entry.second == change.zone; });
        const bool isLost = core.fleetState().lostZones.contains(change.zone);
        if (!isProposed && isLost != change.isLost) {
            driver.zoneProposals[core.propose(ZoneReachability{change.zone, change.isLost})] =
                    change.zone;
        }
    }
}

Milliseconds snapshotPeriod(const FleetState &state)
{
    const auto hosts = static_cast<std::int64_t>(state.hosts.size());
    const std::int64_t bytes = snapshotBaseBytes + snapshotBytesPerHost * hosts;
    return std::clamp(Milliseconds{bytes * 1000 / snapshotBytesPerSecond}, minSnapshotPeriod,
                      maxSnapshotPeriod);
}

void writeSnapshotIfDue(WaveDriver &driver, ControlCore &core)
{
    const FleetState &state = core.fleetState();
    if (driver.snapshotAt == TimePoint{}) {
        driver.snapshotAt = state.time;
        driver.snapshotThrough = state.next;
    }
    const bool isDue = state.next >= driver.snapshotThrough + recordsPerSnapshot
                       || (state.time - driver.snapshotAt >= snapshotPeriod(state)
                           && state.next > driver.snapshotThrough);
    if (!isDue || !driver.snapshotProposals.empty()) {
        return;
    }
    const RecordId snapshot = nextRecordId(core.outbox);
    const std::vector<SnapshotPart> parts = snapshotParts(state, snapshot);
    for (const SnapshotPart &part : parts) {
        driver.snapshotProposals.push_back(core.propose(part));
    }
    logEvent(events::snapshotWritten, {{"stream", core.fleet.name},
                                       {"through", fmt::format("{}", state.next)},
                                       {"parts", fmt::format("{}", parts.size())}});
    driver.snapshotThrough = state.next;
    driver.snapshotAt = state.time;
}

}  // namespace

bool mayActNow(const WaveDriver &driver, const ControlCore &core)
{
    return !core.isLeaving()
           && maintenance::holdsLease(leaseView(core), core.settings.self, core.latestLogTimeNow(),
                                      driver.leasePolicy);
}

void step(WaveDriver &driver, ControlCore &core)
{
    const TimePoint now = core.clock.now();
    if (!core.fleet.isReplaying() || !core.fleet.readUntil || now < driver.nextStep) {
        return;
    }
    driver.nextStep = now + stepPeriod;
    updateLease(driver, core);
    if (core.fleetState().version == 0) {
        return;
    }
    reportZoneChanges(driver, core);
    const bool holdsLease = mayActNow(driver, core);
    logLeaseChange(driver, holdsLease);
    if (holdsLease) {
        if (now >= driver.nextFleetStep) {
            stepFleet(driver, core);
            logWaves(driver, core);
        }
        writeSnapshotIfDue(driver, core);
    } else if (now >= driver.nextHealthStep && !core.isLeaving() && core.isLogReachable) {
        driver.nextHealthStep = now + healthPeriod;
        if (mayReportHealth(core)) {
            reportHealth(driver, core);
        }
    }
}

void forgetProposal(WaveDriver &driver, const RecordId &record)
{
    driver.inFlight.erase(record);
    driver.zoneProposals.erase(record);
    std::erase(driver.snapshotProposals, record);
    if (driver.leaseProposal == record) {
        driver.leaseProposal.reset();
    }
}

void releaseFleetLease(WaveDriver &driver, ControlCore &core)
{
    const maintenance::LeaseView lease = leaseView(core);
    if (lease.holder == core.settings.self && lease.until > core.latestLogTimeNow()) {
        driver.leaseProposal = core.propose(
                LeaderLease{DutyId(fleetLeaseName), core.settings.self, Milliseconds{0}});
    }
}

}  // namespace poplarstream
