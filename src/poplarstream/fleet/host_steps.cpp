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
    const auto at = state.hosts.find(id);
    return at == state.hosts.end() ? nullptr : &at->second;
}

// Keeps the decision in the histories of the host and of the wave, and returns it as the outcome.
// A granted record gives its own reason in `reason`.
ControlOutcome decide(FleetState &state, const Position &at, DecisionKind kind, const HostId &id,
                      const WaveId &wave, bool granted, std::string reason)
{
    const Decision decision{at.offset,
                            at.logTime,
                            kind,
                            granted,
                            HostId(shortened(id.text())),
                            WaveId(shortened(wave.text())),
                            shortened(reason)};
    FleetHost *host = findHost(state, id);
    if (host) {
        keep(host->decisions, decision, decisionsPerHost);
    } else {
        keep(state.unknownHostDecisions, decision, strayDecisions);
    }
    if (!wave.isEmpty()) {
        if (const auto record = state.waves.find(wave); record != state.waves.end()) {
            keep(record->second.decisions, decision, decisionsPerWave);
        }
    }
    return {granted, granted ? std::string{} : std::move(reason)};
}

WaveId waveOf(const FleetHost *host)
{
    return host && host->absence ? host->absence->wave : WaveId{};
}

// Whether the wave names the pool that the host was in at the grant, or the one that it is in now.
bool namesHost(const WaveConfig &wave, const FleetHost &host)
{
    return std::any_of(wave.pools.begin(), wave.pools.end(), [&](const PoolId &pool) {
        return pool == host.absence->origin || pool == host.config->pool;
    });
}

// Whether the ended absence did what the wave asks of the host. A reboot for one wave serves all
// running waves that name the host, or it would be rebooted once for each of them.
bool serves(const FleetHost &host, const WaveConfig &wave)
{
    const Absence &absence = *host.absence;
    const bool isOwn = wave.id == absence.wave;
    if (wave.action == AbsenceKind::Move) {
        return isOwn && absence.moved && host.config->pool == wave.target;
    }
    const bool isRebooted = absence.departed && absence.kind != AbsenceKind::Move;
    const bool isShared = !absence.wave.isEmpty() && wave.state == WaveState::Running;
    return isRebooted && (isOwn || (isShared && namesHost(wave, host)));
}

void finishAbsence(FleetState &state, const HostId &id, FleetHost &host)
{
    for (const WaveConfig &wave : state.configuration->waves) {
        if (serves(host, wave)) {
            state.waves[wave.id].done.insert(id);
        }
    }
    host.absence.reset();
}

// A move out of the spare pool for a wave that does not move its hosts to the target. It is judged
// at the grant, when the wave is running; it can be changed or removed before the host moves.
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

void enter(FleetHost &host, HostState entered, TimePoint time)
{
    if (host.state != entered) {
        host.state = entered;
        host.since = time;
    }
}

struct PhaseRow
{
    HostEvent event;
    DecisionKind kind;
};

PhaseRow rowOf(AbsencePhase phase)
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

std::string progressProblem(const FleetHost *host, const AbsenceProgress &progress)
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
    if (!next(host->state, rowOf(progress.phase).event)) {
        return fmt::format("the host is {}", hostStateText(host->state));
    }
    return {};
}

std::string moveProblem(const FleetHost *host, const HostMove &move)
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

// The document in force shows the present pool, so a move is written into it.
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

ControlOutcome applyStep(FleetState &state, const Position &at, const AbsenceRequest &request)
{
    const std::string problem = absenceRefusal(state, request, at.logTime);
    const bool granted = problem.empty();
    if (granted) {
        FleetHost &host = *findHost(state, request.host);
        const PoolUsageScope scope(state, host);
        enter(host, *next(host.state, HostEvent::Granted), at.time);
        host.absence = Absence{.grant = at.offset,
                               .kind = request.kind,
                               .origin = host.config->pool,
                               .target = request.target,
                               .wave = request.wave,
                               .granted = at.time,
                               .isLoan = isLoan(state, request, host)};
    }
    return decide(state, at, DecisionKind::Absence, request.host, request.wave, granted,
                  granted ? request.reason : problem);
}

ControlOutcome applyStep(FleetState &state, const Position &at, const AbsenceProgress &progress)
{
    FleetHost *host = findHost(state, progress.host);
    const WaveId wave = waveOf(host);
    const PhaseRow row = rowOf(progress.phase);
    std::string problem = progressProblem(host, progress);
    if (problem.empty()) {
        const PoolUsageScope scope(state, *host);
        enter(*host, *next(host->state, row.event), at.time);
        host->absence->departed = host->absence->departed || row.event == HostEvent::Left;
        if (host->state == HostState::InService) {
            finishAbsence(state, progress.host, *host);
        }
    }
    const bool granted = problem.empty();
    return decide(state, at, row.kind, progress.host, wave, granted, std::move(problem));
}

ControlOutcome applyStep(FleetState &state, const Position &at, const HostMove &move)
{
    FleetHost *host = findHost(state, move.host);
    std::string problem = moveProblem(host, move);
    if (problem.empty()) {
        const PoolUsageScope scope(state, *host);
        writePool(state, *host, move.to);
        host->absence->moved = true;
        host->absence->departed = true;
        // Any other move ends a loan: back to the spare pool, or to a pool chosen for good.
        host->loan.reset();
        if (host->absence->isLoan) {
            host->loan = HostLoan{move.from, move.to, host->absence->wave};
        }
    }
    const bool granted = problem.empty();
    return decide(state, at, DecisionKind::Move, move.host, waveOf(host), granted,
                  std::move(problem));
}

ControlOutcome applyStep(FleetState &state, const Position &at, const HostHealth &health)
{
    const DecisionKind kind = health.failed ? DecisionKind::Failed : DecisionKind::Recovered;
    FleetHost *host = findHost(state, health.host);
    if (!host) {
        return decide(state, at, kind, health.host, WaveId{}, false, "the host is not configured");
    }
    const HostEvent event = health.failed   ? HostEvent::Failed
                            : host->absence ? HostEvent::RecoveredAway
                                            : HostEvent::Recovered;
    const auto entered = next(host->state, event);
    if (!entered) {
        return decide(state, at, kind, health.host, waveOf(host), false,
                      fmt::format("the host is {}", hostStateText(host->state)));
    }
    {
        const PoolUsageScope scope(state, *host);
        enter(*host, *entered, at.time);
    }
    return decide(state, at, kind, health.host, waveOf(host), true, health.evidence);
}

ControlOutcome applyStep(FleetState &state, const Position &at, const WorkerQuarantine &quarantine)
{
    const DecisionKind kind =
            quarantine.quarantined ? DecisionKind::Quarantine : DecisionKind::QuarantineEnd;
    FleetHost *host = findHost(state, quarantine.host);
    if (!host) {
        return decide(state, at, kind, quarantine.host, WaveId{}, false,
                      "the host is not configured");
    }
    if (host->quarantined == quarantine.quarantined) {
        return decide(state, at, kind, quarantine.host, WaveId{}, false,
                      quarantine.quarantined ? "the worker is in quarantine already"
                                             : "the worker is not in quarantine");
    }
    host->quarantined = quarantine.quarantined;
    return decide(state, at, kind, quarantine.host, WaveId{}, true, quarantine.evidence);
}

}  // namespace poplarstream
