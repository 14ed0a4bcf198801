#include <algorithm>  // for any_of

#include <fmt/format.h>  // for format

#include "poplarstream/config/document.hpp"  // for setEntry, SectionId
#include "poplarstream/fleet/pool_usage.hpp"  // for PoolUsageScope
#include "poplarstream/fleet/queries.hpp"  // for absenceRefusal
#include "poplarstream/fleet/steps.hpp"  // for applyStep

namespace poplarstream {
namespace {

FleetHost *findHost(FleetState &state, const HostId &id)
{
    const auto it = state.hosts.find(id);
    return it == state.hosts.end() ? nullptr : &it->second;
}

// Records the decision in the histories of the host and the wave, and returns it as the outcome.
// For a granted record, `reason` is the reason that the record itself gives.
ControlOutcome recordDecision(FleetState &state, const LogPosition &position, DecisionKind kind,
                              const HostId &id, const WaveId &wave, bool granted,
                              std::string reason)
{
    const Decision decision{position.offset,
                            position.logTime,
                            kind,
                            granted,
                            HostId(truncated(id.text())),
                            WaveId(truncated(wave.text())),
                            truncated(reason)};
    FleetHost *host = findHost(state, id);
    if (host) {
        appendBounded(host->decisions, decision, maxDecisionsPerHost);
    } else {
        appendBounded(state.unknownHostDecisions, decision, maxUnknownHostDecisions);
    }
    if (!wave.isEmpty()) {
        if (const auto it = state.waves.find(wave); it != state.waves.end()) {
            appendBounded(it->second.decisions, decision, maxDecisionsPerWave);
        }
    }
    return {granted, granted ? std::string{} : std::move(reason)};
}

WaveId waveOf(const FleetHost *host)
{
    return host && host->absence ? host->absence->wave : WaveId{};
}

// Returns whether the wave names the pool of the host at the time of the grant or its current pool.
bool includesPoolOf(const WaveConfig &wave, const FleetHost &host)
{
    return std::any_of(wave.pools.begin(), wave.pools.end(), [&](const PoolId &pool) {
        return pool == host.absence->origin || pool == host.config->pool;
    });
}

// Returns whether the host has completed the wave with the absence that ends. A reboot for one wave
// counts for all running waves that include the host; otherwise it would be rebooted once for each.
bool completesWave(const FleetHost &host, const WaveConfig &wave)
{
    const Absence &absence = *host.absence;
    const bool isOwn = wave.id == absence.wave;
    if (wave.action == AbsenceKind::Move) {
        return isOwn && absence.moved && host.config->pool == wave.target;
    }
    const bool isRebooted = absence.departed && absence.kind != AbsenceKind::Move;
    const bool isShared = !absence.wave.isEmpty() && wave.state == WaveState::Running;
    return isRebooted && (isOwn || (isShared && includesPoolOf(wave, host)));
}

void finishAbsence(FleetState &state, const HostId &id, FleetHost &host)
{
    for (const WaveConfig &wave : state.configuration->waves) {
        if (completesWave(host, wave)) {
            state.waves[wave.id].done.insert(id);
        }
    }
    host.absence.reset();
}

// Returns whether the request is a loan: a move out of the spare pool for a wave that does not move
// its hosts to the target. This is decided at the grant, while the wave is running, since the wave
// can be changed or removed before the host moves.
bool isLoan(const FleetState &state, const AbsenceRequest &request, const FleetHost &host)
{
    const Configuration &configuration = *state.configuration;
    const WaveConfig *wave = configuration.waves.find(request.wave);
    const PoolConfig *pool = configuration.pools.find(host.config->pool);
    if (request.kind == AbsenceKind::Reboot || !wave || !pool || !pool->spare) {
        return false;
    }
    return wave->action == AbsenceKind::Reboot || wave->target != request.target;
}

void enterState(FleetHost &host, HostState entered, TimePoint time)
{
    if (host.state != entered) {
        host.state = entered;
        host.since = time;
    }
}

struct PhaseTransition
{
    HostEvent event;
    DecisionKind kind;
};

PhaseTransition transitionOf(AbsencePhase phase)
{
    switch (phase) {
    case AbsencePhase::Drained:
        return {HostEvent::Drained, DecisionKind::Drained};
    case AbsencePhase::Away:
        return {HostEvent::Left, DecisionKind::Left};
    case AbsencePhase::Returning:
        return {HostEvent::CameBack, DecisionKind::CameBack};
    case AbsencePhase::Returned:
        return {HostEvent::Returned, DecisionKind::Returned};
    case AbsencePhase::Abandoned:
        break;
    }
    return {HostEvent::Abandoned, DecisionKind::Abandoned};
}

std::string progressRefusal(const FleetHost *host, const AbsenceProgress &progress)
{
    if (!host) {
        return "the host is not configured";
    }
    if (!host->absence) {
        return fmt::format("the absence granted at offset {} has ended", progress.grant);
    }
    if (host->absence->grant != progress.grant) {
        return fmt::format("the report is about the absence granted at offset {}, and the present "
                           "one was granted at offset {}",
                           progress.grant, host->absence->grant);
    }
    if (!next(host->state, transitionOf(progress.phase).event)) {
        return fmt::format("the host is {}", hostStateText(host->state));
    }
    return {};
}

std::string moveRefusal(const FleetHost *host, const HostMove &move)
{
    if (!host) {
        return "the host is not configured";
    }
    if (host->config->pool != move.from) {
        return fmt::format("the host is in pool {}", host->config->pool.text());
    }
    if (!host->absence || host->absence->kind == AbsenceKind::Reboot) {
        return "no move of the host was granted";
    }
    if (host->absence->moved) {
        return "the host has moved already";
    }
    if (host->absence->target != move.to) {
        return fmt::format("a move to pool {} was granted", host->absence->target.text());
    }
    if (host->state != HostState::Away) {
        return fmt::format("the host is {}, not away", hostStateText(host->state));
    }
    return {};
}

// Writes the pool of a moved host into the document in force, which shows the current pools.
void writePool(FleetState &state, FleetHost &host, const PoolId &pool)
{
    HostConfig moved = *host.config;
    moved.pool = pool;
    const HostId id = moved.id;
    auto configuration = std::make_shared<Configuration>(*state.configuration);
    configuration->hosts.set(std::move(moved));
    host.config = configuration->hosts.findShared(id);
    state.configuration = std::move(configuration);
    ConfigSection section = *state.document.find(SectionId("host " + id.text()));
    setEntry(section, "pool", pool.text());
    state.document.set(std::move(section));
}

}  // namespace

ControlOutcome applyStep(FleetState &state, const LogPosition &position,
                         const AbsenceRequest &request)
{
    const std::string refusal = absenceRefusal(state, request, position.logTime);
    const bool granted = refusal.empty();
    if (granted) {
        FleetHost &host = *findHost(state, request.host);
        const PoolUsageScope scope(state, host);
        enterState(host, *next(host.state, HostEvent::Granted), position.time);
        host.absence = Absence{.grant = position.offset,
                               .kind = request.kind,
                               .origin = host.config->pool,
                               .target = request.target,
                               .wave = request.wave,
                               .granted = position.time,
                               .isLoan = isLoan(state, request, host)};
    }
    return recordDecision(state, position, DecisionKind::Absence, request.host, request.wave,
                          granted, granted ? request.reason : refusal);
}

ControlOutcome applyStep(FleetState &state, const LogPosition &position,
                         const AbsenceProgress &progress)
{
    FleetHost *host = findHost(state, progress.host);
    const WaveId wave = waveOf(host);
    const PhaseTransition transition = transitionOf(progress.phase);
    std::string refusal = progressRefusal(host, progress);
    if (refusal.empty()) {
        const PoolUsageScope scope(state, *host);
        enterState(*host, *next(host->state, transition.event), position.time);
        host->absence->departed = host->absence->departed || transition.event == HostEvent::Left;
        if (host->state == HostState::InService) {
            finishAbsence(state, progress.host, *host);
        }
    }
    const bool granted = refusal.empty();
    return recordDecision(state, position, transition.kind, progress.host, wave, granted,
                          std::move(refusal));
}

ControlOutcome applyStep(FleetState &state, const LogPosition &position, const HostMove &move)
{
    FleetHost *host = findHost(state, move.host);
    std::string refusal = moveRefusal(host, move);
    if (refusal.empty()) {
        const PoolUsageScope scope(state, *host);
        writePool(state, *host, move.to);
        host->absence->moved = true;
        host->absence->departed = true;
        // Any other move ends a loan: back to the spare pool, or permanently to another pool.
        host->loan.reset();
        if (host->absence->isLoan) {
            host->loan = HostLoan{move.from, move.to, host->absence->wave};
        }
    }
    const bool granted = refusal.empty();
    return recordDecision(state, position, DecisionKind::Move, move.host, waveOf(host), granted,
                          std::move(refusal));
}

ControlOutcome applyStep(FleetState &state, const LogPosition &position, const HostHealth &health)
{
    const DecisionKind kind = health.failed ? DecisionKind::Failed : DecisionKind::Recovered;
    FleetHost *host = findHost(state, health.host);
    if (!host) {
        return recordDecision(state, position, kind, health.host, WaveId{}, false,
                              "the host is not configured");
    }
    const HostEvent event = health.failed   ? HostEvent::Failed
                            : host->absence ? HostEvent::RecoveredAway
                                            : HostEvent::Recovered;
    const auto entered = next(host->state, event);
    if (!entered) {
        return recordDecision(state, position, kind, health.host, waveOf(host), false,
                              fmt::format("the host is {}", hostStateText(host->state)));
    }
    {
        const PoolUsageScope scope(state, *host);
        enterState(*host, *entered, position.time);
    }
    return recordDecision(state, position, kind, health.host, waveOf(host), true, health.evidence);
}

ControlOutcome applyStep(FleetState &state, const LogPosition &position,
                         const WorkerQuarantine &quarantine)
{
    const DecisionKind kind =
            quarantine.quarantined ? DecisionKind::Quarantine : DecisionKind::QuarantineEnd;
    FleetHost *host = findHost(state, quarantine.host);
    if (!host) {
        return recordDecision(state, position, kind, quarantine.host, WaveId{}, false,
                              "the host is not configured");
    }
    if (host->quarantined == quarantine.quarantined) {
        return recordDecision(state, position, kind, quarantine.host, WaveId{}, false,
                              quarantine.quarantined ? "the worker is in quarantine already"
                                                     : "the worker is not in quarantine");
    }
    host->quarantined = quarantine.quarantined;
    return recordDecision(state, position, kind, quarantine.host, WaveId{}, true,
                          quarantine.evidence);
}

}  // namespace poplarstream
