#include "control_log.hpp"

#include <fmt/format.h>  // for format

#include "poplarstream/runs/queries.hpp"  // for findRun
#include "poplarstream/telemetry/event.hpp"  // for logEvent
#include "poplarstream/telemetry/event_kinds.hpp"  // for absenceGranted

namespace poplarstream {

namespace {

std::string_view kindText(AbsenceKind kind)
{
    switch (kind) {
    case AbsenceKind::Reboot:
        return "reboot";
    case AbsenceKind::Move:
        return "move";
    case AbsenceKind::RebootAndMove:
        break;
    }
    return "reboot-move";
}

std::string_view phaseText(AbsencePhase phase)
{
    switch (phase) {
    case AbsencePhase::Drained:
        return "drained";
    case AbsencePhase::Away:
        return "away";
    case AbsencePhase::Returning:
        return "returning";
    case AbsencePhase::Returned:
        return "returned";
    case AbsencePhase::Abandoned:
        break;
    }
    return "abandoned";
}

// Logs the event of a control record, by its type.
struct ControlEventLogger
{
    const FleetState &state;
    const Logged<ControlRecord> &logged;
    const ControlOutcome &outcome;

    void operator()(const ConfigChange &change) const
    {
        if (outcome.granted) {
            logEvent(events::configurationInForce, {{"config", fmt::format("{}", state.version)},
                                                    {"offset", fmt::format("{}", logged.offset)},
                                                    {"author", change.author}});
        } else if (!outcome.reason.empty()) {
            logEvent(events::configurationRefused,
                     {{"record", logged.record.header.id.text()}, {"reason", outcome.reason}});
        }
    }

    void operator()(const AbsenceRequest &request) const
    {
        const auto host = state.hosts.find(request.host);
        if (outcome.granted && host != state.hosts.end()) {
            logEvent(events::absenceGranted, {{"host", request.host.text()},
                                              {"pool", host->second.config->pool.text()},
                                              {"kind", std::string(kindText(request.kind))},
                                              {"wave", request.wave.text()}});
        } else if (!outcome.reason.empty()) {
            logEvent(events::absenceRefused,
                     {{"host", request.host.text()}, {"reason", outcome.reason}});
        }
    }

    void operator()(const AbsenceProgress &progress) const
    {
        if (outcome.granted) {
            logEvent(events::absenceProgress, {{"host", progress.host.text()},
                                               {"phase", std::string(phaseText(progress.phase))}});
        }
    }

    void operator()(const HostMove &move) const
    {
        if (outcome.granted) {
            logEvent(events::hostMoved, {{"host", move.host.text()},
                                         {"from", move.from.text()},
                                         {"to", move.to.text()}});
        }
    }

    void operator()(const HostHealth &health) const
    {
        if (outcome.granted && health.failed) {
            logEvent(events::hostFailed,
                     {{"host", health.host.text()}, {"evidence", health.evidence}});
        } else if (outcome.granted) {
            logEvent(events::hostRecovered, {{"host", health.host.text()}});
        }
    }

    void operator()(const ZoneReachability &zone) const
    {
        if (outcome.granted) {
            logEvent(events::zoneReachability,
                     {{"zone", zone.zone.text()}, {"lost", zone.lost ? "yes" : "no"}});
        }
    }

    void operator()(const WorkerQuarantine &quarantine) const
    {
        if (outcome.granted && quarantine.quarantined) {
            logEvent(events::workerQuarantined,
                     {{"host", quarantine.host.text()}, {"evidence", quarantine.evidence}});
        } else if (outcome.granted) {
            logEvent(events::workerReleased, {{"host", quarantine.host.text()}});
        }
    }

    void operator()(const LeaderLease &) const {}
    void operator()(const SnapshotPart &) const {}
};

// Logs the event of a run entry, by its type. Most types have none.
struct RunEventLogger
{
    const RunsState &state;
    const FencingToken &token;

    void operator()(const RunAccepted &accepted) const
    {
        logEvent(events::runAccepted,
                 {{"run", accepted.run.text()}, {"service", accepted.service.text()}});
    }

    void operator()(const RunClaimed &claimed) const
    {
        logEvent(events::runClaimed, {{"run", claimed.run.text()},
                                      {"worker", claimed.worker.text()},
                                      {"token", fmt::format("{}.{}", token.offset, token.index)}});
    }

    void operator()(const RunFinished &finished) const
    {
        if (finished.outcome == RunOutcome::MayHaveRun) {
            logEvent(events::runMayHaveRun, {{"run", finished.run.text()}});
            return;
        }
        const Run *run = findRun(state, finished.run);
        const std::string_view stage = run != nullptr ? stageText(run->stage) : "forgotten";
        logEvent(events::runFinished,
                 {{"run", finished.run.text()}, {"outcome", std::string(stage)}});
    }

    void operator()(const RunDeadLettered &deadLettered) const
    {
        logEvent(events::runSetAside,
                 {{"run", deadLettered.run.text()}, {"reason", deadLettered.reason}});
    }

    template <class Other>
    void operator()(const Other &) const
    {}
};

}  // namespace

void logControlRecord(const FleetState &state, const Logged<ControlRecord> &logged,
                      const ControlOutcome &outcome)
{
    std::visit(ControlEventLogger{state, logged, outcome}, logged.record.body);
}

void logRunEntry(const RunsState &state, const RunEntry &entry, const FencingToken &token)
{
    std::visit(RunEventLogger{state, token}, entry);
}

}  // namespace poplarstream
